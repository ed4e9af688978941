//! Who may connect over MQTT: a file with a line `user:hash` for each, the hashes in PHC's form (Argon2id). Lines that
//! are empty or begin with `#` mean nothing.

use argon2::password_hash::{PasswordHash, PasswordHasher, PasswordVerifier, SaltString};
use argon2::{Algorithm, Argon2, Params, Version};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};

/// Why a file of users cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{}: {why}", path.display())]
    Read { path: PathBuf, why: io::Error },
    #[error("{}:{line}: {why}; make lines with `stairshed mqtt-password USER`", path.display())]
    Line { path: PathBuf, line: usize, why: &'static str },
    #[error("the password cannot be hashed: {0}")]
    Hash(String),
}

#[derive(Debug, Default)]
pub struct Users(HashMap<String, String>);

/// 4 MiB and three passes: some ms, off the serving thread, and no memory worth counting.
fn hasher() -> Result<Argon2<'static>, Error> {
    let params = Params::new(4096, 3, 1, None).map_err(|e| Error::Hash(e.to_string()))?;
    Ok(Argon2::new(Algorithm::Argon2id, Version::V0x13, params))
}

/// Whether it can stand before the colon, and in a client's name for the journal.
fn is_user(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    !name.is_empty() && name.len() <= 64 && name.chars().all(plain)
}

impl Users {
    /// # Errors
    /// The file cannot be read, or a line of it is none.
    pub fn read(path: &Path) -> Result<Users, Error> {
        let text = std::fs::read_to_string(path).map_err(|why| Error::Read { path: path.to_owned(), why })?;
        let mut users = HashMap::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |why| Error::Line { path: path.to_owned(), line: n + 1, why };
            let (user, hash) = line.split_once(':').ok_or_else(|| wrong("no user:hash"))?;
            if !is_user(user) {
                return Err(wrong("a user has 1 to 64 letters, digits, - _ . or @"));
            }
            if PasswordHash::new(hash).is_err() {
                return Err(wrong("the hash is none"));
            }
            if users.insert(user.to_owned(), hash.to_owned()).is_some() {
                return Err(wrong("the user stands there twice"));
            }
        }
        Ok(Users(users))
    }

    /// Whether this is the user's password. Takes some ms, also where there is no such user: else the time would tell
    /// which there are.
    pub fn admit(&self, user: &str, password: &[u8]) -> bool {
        let Ok(hasher) = hasher() else { return false };
        let known = self.0.get(user);
        let any = self.0.values().next();
        let Some(hash) = known.or(any).and_then(|h| PasswordHash::new(h).ok()) else { return false };
        hasher.verify_password(password, &hash).is_ok() && known.is_some()
    }
}

/// A line for the file of users.
///
/// # Errors
/// The name is none, or the system gives no chance.
pub fn password_line(user: &str, password: &str) -> Result<String, Error> {
    if !is_user(user) {
        return Err(Error::Hash("a user has 1 to 64 letters, digits, - _ . or @".to_owned()));
    }
    let salt = SaltString::encode_b64(&rand::random::<[u8; 16]>()).map_err(|e| Error::Hash(e.to_string()))?;
    let hash = hasher()?.hash_password(password.as_bytes(), &salt).map_err(|e| Error::Hash(e.to_string()))?;
    Ok(format!("{user}:{hash}"))
}

#[cfg(test)]
#[path = "users_test.rs"]
mod tests;
