//! The operator's settings for a courier that the platform configures: only `[journal]` of the operator's
//! file.

use crate::discovery::config_file::{ConfigFileError, read_document};
use stairshed_config::file::Journal;
use std::path::Path;

/// Settings read from the operator's file.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    pub journal: Journal,
}

impl OperatorSettings {
    /// Reads the file, or returns the defaults if none is given.
    ///
    /// # Errors
    /// The file cannot be read or is invalid.
    pub fn read(file: Option<&Path>) -> Result<Self, ConfigFileError> {
        let Some(file) = file else { return Ok(OperatorSettings::default()) };
        let installation = read_document(file)?.installation(None).map_err(ConfigFileError::Invalid)?;
        Ok(OperatorSettings { journal: installation.file.journal })
    }
}

#[cfg(test)]
#[path = "settings_test.rs"]
mod tests;
