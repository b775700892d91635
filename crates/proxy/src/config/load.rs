//! Loads the configuration from its file and the `BALANCER_*` environment variables.

use std::collections::HashMap;

use pinefront_policy::Settings;
use rustix::process::{Resource, getrlimit};
use serde_json::Value;

use super::error::LoadError;
use super::proxy_config::Config;

const VARIABLE_PREFIX: &str = "BALANCER_";

/// Values of the `BALANCER_*` environment variables, by their names without the prefix.
pub type Variables = HashMap<String, String>;

/// A loaded configuration file.
pub struct LoadedConfig {
    /// The contents of the file as JSON.
    pub document: Value,
    /// The configuration of the proxy.
    pub config: Config,
    /// The settings of the policy.
    pub settings: Settings,
}

/// Returns the `BALANCER_*` environment variables. Those that are not valid UTF-8 are
/// ignored.
pub fn variables() -> Variables {
    std::env::vars_os()
        .filter_map(|(name, value)| {
            let name = name.into_string().ok()?;
            let name = name.strip_prefix(VARIABLE_PREFIX)?.to_owned();
            Some((name, value.into_string().ok()?))
        })
        .collect()
}

/// Loads the configuration from `path`, or else from the file that the variable `BALANCER_CONFIG`
/// names. The other variables take precedence over the file.
///
/// # Errors
///
/// Fails when no file is given, the file cannot be read or the configuration is invalid.
pub fn load(path: Option<&str>, variables: &Variables) -> Result<LoadedConfig, LoadError> {
    let path = path.or(variables.get("CONFIG").map(String::as_str));
    let path = path.ok_or(LoadError::NoFile)?.to_owned();
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(LoadError::Unreadable { path, source }),
    };
    let document: Value = match serde_json::from_slice(&bytes) {
        Ok(document) => document,
        Err(source) => return Err(LoadError::NotJson { path, source }),
    };
    let open_files = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    match Config::decode(&document, variables, open_files) {
        Ok((config, settings)) => Ok(LoadedConfig {
            document,
            config,
            settings,
        }),
        Err(source) => Err(LoadError::Invalid { path, source }),
    }
}
