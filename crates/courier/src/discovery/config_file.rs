//! Reads the operator's configuration file.

use stairshed_config::Problems;
use stairshed_config::installation::Document;
use std::fs;
use std::path::{Path, PathBuf};

/// Why the operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    #[error("{}: {why}", file.display())]
    Unreadable { file: PathBuf, why: std::io::Error },
    /// All errors in the file, each with its line and key.
    #[error("{0}")]
    Invalid(Problems),
}

/// Reads and parses an operator's file.
///
/// # Errors
/// The file cannot be read, or its syntax is invalid.
pub fn read_document(file: &Path) -> Result<Document, ConfigFileError> {
    let text =
        fs::read_to_string(file).map_err(|why| ConfigFileError::Unreadable { file: file.to_owned(), why })?;
    Document::read(&file.display().to_string(), &text).map_err(ConfigFileError::Invalid)
}
