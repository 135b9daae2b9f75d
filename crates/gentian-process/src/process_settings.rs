//! Settings file of a process.

use std::net::SocketAddr;
use std::path::Path;

use eyre::{WrapErr, bail};
use gentian_config::{ConfigFault, IniSection, SectionReader, format_faults, parse_ini};
use gentian_core::peer::{MemberRecord, MemberRole};
use gentian_core::{DomainId, InstanceId, VmId};
use gentian_wire::ClusterKey;

/// Settings of the section `[process]`, which every process of the system has.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// VM on which the process runs.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address of the datagram port.
    pub peer_address: SocketAddr,
    /// Address of the port for `/healthz`, `/readyz`, `/metrics` and `/status`.
    pub admin_address: SocketAddr,
    /// Address of the key-value service.
    pub key_value_address: SocketAddr,
    /// Address of the service that lists VMs.
    pub vm_list_address: Option<SocketAddr>,
    /// Secret key shared by all processes of one system.
    pub cluster_key: ClusterKey,
}

impl ProcessSettings {
    /// Returns the member record of a process with these settings.
    pub fn member(&self, role: MemberRole, instance: InstanceId) -> MemberRecord {
        MemberRecord {
            vm: self.vm.clone(),
            instance,
            role,
            domain: self.domain.clone(),
            address: self.peer_address,
        }
    }

    fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let vm = reader.required("vm");
        let domain = reader.required("domain");
        let peer_address = reader.required("peer_address");
        let admin_address = reader.required("admin_address");
        let key_value_address = reader.required("key_value_address");
        let vm_list_address = reader.optional("vm_list_address");
        let cluster_key = reader.required("cluster_key");
        Some(Self {
            vm: vm?,
            domain: domain?,
            peer_address: peer_address?,
            admin_address: admin_address?,
            key_value_address: key_value_address?,
            vm_list_address,
            cluster_key: cluster_key?,
        })
    }
}

/// Reads a settings file with the section `[process]` and the section `kind`, which `read_kind`
/// reads.
///
/// # Errors
///
/// Returns one error that lists every fault with its line.
pub fn read_settings<T>(
    path: &Path,
    kind: &str,
    read_kind: impl Fn(&mut SectionReader<'_>) -> Option<T>,
) -> eyre::Result<(ProcessSettings, T)> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| {
        format!(
            "cannot read the settings file {file}; its entries are described in docs/OPERATIONS.md"
        )
    })?;
    let (sections, mut faults) = parse_ini(&text);
    let process = read_section(&sections, "process", &mut faults, ProcessSettings::read);
    let kind_settings = read_section(&sections, kind, &mut faults, read_kind);
    let is_unknown = |section: &&IniSection| section.kind != "process" && section.kind != kind;
    for section in sections.iter().filter(is_unknown) {
        let message = format!("unknown section [{}]; known: process, {kind}", section.header());
        faults.push(ConfigFault::new(section.line, message));
    }
    match (process, kind_settings) {
        (Some(process), Some(kind_settings)) if faults.is_empty() => Ok((process, kind_settings)),
        _ => {
            faults.sort();
            bail!("the settings have faults\n{}", format_faults(&file, &faults))
        }
    }
}

fn read_section<T>(
    sections: &[IniSection],
    kind: &str,
    faults: &mut Vec<ConfigFault>,
    read: impl Fn(&mut SectionReader<'_>) -> Option<T>,
) -> Option<T> {
    let empty = IniSection::new(kind, 1);
    let section = sections.iter().find(|section| section.kind == kind).unwrap_or(&empty);
    let mut reader = SectionReader::new(section);
    let value = read(&mut reader);
    faults.extend(reader.into_faults());
    value
}
