//! Private key files: the ed25519 seed in hex, readable by the owner only.

use std::{
    fs::{
        self,
        OpenOptions, //
    },
    io::{
        self,
        Write, //
    },
    os::unix::fs::OpenOptionsExt,
    path::Path, //
};

use ed25519_dalek::SigningKey;

use crate::cli_error::CliError;

/// Permission bits of a key file: only the owner may read and write it.
const KEY_FILE_MODE: u32 = 0o600;

/// Reads a private key; surrounding white space is ignored.
pub(crate) fn read_key(path: &Path) -> Result<SigningKey, CliError> {
    let text = fs::read_to_string(path).map_err(|error| CliError::file_error(path, error))?;
    let mut seed = [0; 32];
    hex::decode_to_slice(text.trim(), &mut seed)
        .map_err(|_| CliError::BadKey { path: path.into() })?;
    Ok(SigningKey::from_bytes(&seed))
}

/// Writes a private key to a new file; fails if the file exists.
pub(crate) fn write_key(path: &Path, key: &SigningKey) -> Result<(), CliError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(KEY_FILE_MODE);
    let mut file = options.open(path).map_err(|error| match error.kind() {
        io::ErrorKind::AlreadyExists => CliError::FileExists { path: path.into() },
        _ => CliError::file_error(path, error),
    })?;
    let text = format!("{}\n", hex::encode(key.to_bytes()));
    file.write_all(text.as_bytes())
        .map_err(|error| CliError::file_error(path, error))
}
