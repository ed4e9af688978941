//! Users that may connect over MQTT, from a file with one `user:hash` line each. The hashes are Argon2id in
//! the PHC string format. Empty lines and lines that begin with `#` are ignored.

use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};

/// Why a users file cannot be used, or a line for it cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{}: {why}", path.display())]
    Read { path: PathBuf, why: io::Error },
    #[error("{}:{line}: {why}; create lines with `stairshed mqtt-password USER`", path.display())]
    Line { path: PathBuf, line: usize, why: &'static str },
    #[error("cannot hash the password: {0}")]
    Hash(String),
}

/// Password hashes by user name.
#[derive(Debug, Default)]
pub struct Users(HashMap<String, String>);

/// Argon2id with 4 MiB and three passes: a hash takes a few ms, off the serving thread, and too little memory
/// to be accounted for.
fn hasher() -> Result<Argon2<'static>, Error> {
    let params = Params::new(4096, 3, 1, None).map_err(|e| Error::Hash(e.to_string()))?;
    Ok(Argon2::new(Algorithm::Argon2id, Version::V0x13, params))
}

/// Whether the name is valid before the colon of a line and as part of a session's key in the journal.
fn is_valid_user_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    !name.is_empty() && name.len() <= 64 && name.chars().all(allowed)
}

impl Users {
    /// Reads a users file.
    ///
    /// # Errors
    /// The file cannot be read or has an invalid line.
    pub fn read(path: &Path) -> Result<Users, Error> {
        let text = std::fs::read_to_string(path).map_err(|why| Error::Read { path: path.to_owned(), why })?;
        let mut users = HashMap::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let error = |why| Error::Line { path: path.to_owned(), line: n + 1, why };
            let (user, hash) = line.split_once(':').ok_or_else(|| error("expected user:hash"))?;
            if !is_valid_user_name(user) {
                return Err(error("a user name has 1 to 64 letters, digits, - _ . or @"));
            }
            if PasswordHash::new(hash).is_err() {
                return Err(error("the hash is not in PHC string format"));
            }
            if users.insert(user.to_owned(), hash.to_owned()).is_some() {
                return Err(error("the user is listed twice"));
            }
        }
        Ok(Users(users))
    }

    /// Whether this is the user's password. Takes a few ms, also for an unknown user, so that the response
    /// time does not reveal which users exist.
    pub fn verify(&self, user: &str, password: &[u8]) -> bool {
        let Ok(hasher) = hasher() else { return false };
        let known = self.0.get(user);
        let other = self.0.values().next();
        let Some(hash) = known.or(other).and_then(|h| PasswordHash::new(h).ok()) else { return false };
        hasher.verify_password(password, &hash).is_ok() && known.is_some()
    }
}

/// Makes a line for a users file.
///
/// # Errors
/// The user name is invalid, or the password cannot be hashed.
pub fn password_line(user: &str, password: &str) -> Result<String, Error> {
    if !is_valid_user_name(user) {
        return Err(Error::Hash("a user name has 1 to 64 letters, digits, - _ . or @".to_owned()));
    }
    let salt = SaltString::encode_b64(&rand::random::<[u8; 16]>()).map_err(|e| Error::Hash(e.to_string()))?;
    let hash = hasher()?.hash_password(password.as_bytes(), &salt).map_err(|e| Error::Hash(e.to_string()))?;
    Ok(format!("{user}:{hash}"))
}

#[cfg(test)]
#[path = "users_test.rs"]
mod tests;
