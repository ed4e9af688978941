//! The operator's settings beside the platform's configuration: of the operator's file only `[journal]`.

use crate::discovery::config_file::{Error, document};
use stairshed_config::file::Journal;
use std::path::Path;

/// All settings.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub journal: Journal,
}

impl Settings {
    /// Reads the file, or gives the defaults where none is named.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(file: Option<&Path>) -> Result<Self, Error> {
        let Some(file) = file else { return Ok(Settings::default()) };
        let installation = document(file)?.installation(None).map_err(Error::Bad)?;
        Ok(Settings { journal: installation.file.journal })
    }
}

#[cfg(test)]
#[path = "settings_test.rs"]
mod tests;
