//! Macros that define newtypes over text and over whole numbers.

/// Defines a newtype over a name: 1 to 64 letters, digits, `-`, `_` or `.`.
macro_rules! name_newtype {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if $crate::newtypes::is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::ParseError::new($kind, text, $crate::newtypes::NAME_FORM))
                }
            }
        }
    };
}

/// Defines a newtype over `u64` without `Display` and `FromStr`.
macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Creates the value from its number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }
    };
}

/// Defines a newtype over `u64` whose text form is decimal.
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $crate::newtypes::integer_newtype!($(#[$doc])* $name);

        impl $name {
            /// Returns the next number.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text.parse();
                number.map(Self).map_err(|_| $crate::ParseError::new($kind, text, "a whole number"))
            }
        }
    };
}

/// Defines a newtype over `u64` whose text form is sixteen hexadecimal digits.
macro_rules! hex_newtype {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $crate::newtypes::integer_newtype!($(#[$doc])* $name);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let expected = "sixteen hexadecimal digits";
                let number = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
                number.map(Self).ok_or_else(|| $crate::ParseError::new($kind, text, expected))
            }
        }
    };
}

pub(crate) use {hex_newtype, integer_newtype, name_newtype, number_newtype};

/// Accepted form of a name, for error messages.
pub(crate) const NAME_FORM: &str = "1 to 64 letters, digits, '-', '_' or '.'";

const NAME_MAX_CHARS: usize = 64;

/// Returns whether `text` is a valid name.
pub(crate) fn is_name(text: &str) -> bool {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= NAME_MAX_CHARS && text.chars().all(is_valid)
}

/// Splits a number from its unit: `"14 GiB"` gives `("14", "GiB")`.
pub(crate) fn split_unit(text: &str) -> (&str, &str) {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    (&text[..end], text[end..].trim())
}
