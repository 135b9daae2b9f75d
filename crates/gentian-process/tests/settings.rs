//! A settings file is accepted, or rejected with all its faults and their lines.

#![allow(clippy::unwrap_used)]

use gentian_process::read_settings;

const GOOD: &str = "\
[process]
vm = vm-1
domain = palermo
peer_address = 127.0.0.1:1
admin_address = 127.0.0.1:2
key_value_address = 127.0.0.1:3
cluster_key = a secret of 16 or more
[controller]
";

fn read(text: &str) -> Result<String, String> {
    let name = format!("gentian-settings-{}-{}", std::process::id(), text_hash(text));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    let settings = read_settings(&path, "controller", |_| Some(()));
    std::fs::remove_file(&path).unwrap();
    settings.map(|(process, ())| process.vm.to_string()).map_err(|error| error.to_string())
}

/// Returns a number that distinguishes the files of tests that run at the same time.
fn text_hash(text: &str) -> usize {
    text.bytes().fold(7, |hash, byte| hash * 31 % 1_000_003 + usize::from(byte))
}

#[test]
fn good_settings_are_read() {
    assert_eq!(read(GOOD).unwrap(), "vm-1");
}

#[test]
fn every_fault_is_listed_and_no_secret_is_shown() {
    let text = GOOD
        .replace("127.0.0.1:2", "nowhere")
        .replace("a secret of 16 or more", "too short")
        .replace("[controller]", "[entry]");
    let error = read(&text).unwrap_err();
    for part in
        ["line 5", "'admin_address': invalid", "line 7", "cluster key", "line 8", "unknown section"]
    {
        assert!(error.contains(part), "{part} is not in {error}");
    }
    assert!(!error.contains("too short"), "{error}");
}
