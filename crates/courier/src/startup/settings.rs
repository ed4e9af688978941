//! The operator's settings beside the platform's configuration: of the operator's file only `[journal]`.

use crate::discovery::config_file::{ConfigFileError, read_document};
use stairshed_config::file::Journal;
use std::path::Path;

/// All settings.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    pub journal: Journal,
}

impl OperatorSettings {
    /// Reads the file, or gives the defaults where none is named.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(file: Option<&Path>) -> Result<Self, ConfigFileError> {
        let Some(file) = file else { return Ok(OperatorSettings::default()) };
        let installation = read_document(file)?.installation(None).map_err(ConfigFileError::Invalid)?;
        Ok(OperatorSettings { journal: installation.file.journal })
    }
}

#[cfg(test)]
#[path = "settings_test.rs"]
mod tests;
