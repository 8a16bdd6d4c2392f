//! Operators and their access to the administration API.

use std::fmt;

use chicoryloom_wire::generated::settings as raw;
use smol_str::SmolStr;

use super::Fault;
use super::secret;

/// An operator and the hash of its token.
#[derive(Clone)]
pub struct Operator {
    /// Unique name that audit lines use.
    pub name: SmolStr,
    token: blake3::Hash,
}

/// Operators that may use the administration API; every call is rejected if there are none.
#[derive(Clone, Default)]
pub struct Admin {
    operators: Vec<Operator>,
}

impl Admin {
    /// Returns the operator that has the given token.
    pub(crate) fn operator(&self, token: &str) -> Option<&Operator> {
        // Hashes compare in constant time, unlike strings.
        let shown = blake3::hash(token.as_bytes());
        self.operators.iter().find(|operator| operator.token == shown)
    }
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.operators.iter().map(|operator| &operator.name);
        f.debug_list().entries(names).finish()
    }
}

impl TryFrom<raw::Admin> for Admin {
    type Error = Fault;

    fn try_from(raw: raw::Admin) -> Result<Self, Self::Error> {
        let mut operators: Vec<Operator> = Vec::with_capacity(raw.tokens.len());
        for token in raw.tokens {
            let name = check_name(&token.name)?;
            if operators.iter().any(|operator| operator.name == name) {
                return Err(Fault::new("admin.tokens", format!("name {name:?} stands twice")));
            }
            let secret = secret::read("admin.tokens", &token.token)?;
            operators.push(Operator { name, token: blake3::hash(secret.as_bytes()) });
        }
        Ok(Self { operators })
    }
}

/// Validates an operator's name; whitespace and control characters would break audit lines.
fn check_name(name: &str) -> Result<SmolStr, Fault> {
    if name.is_empty() || name.chars().any(|c| c.is_control() || c.is_whitespace()) {
        let reason = format!("name {name:?} is empty or holds a space");
        return Err(Fault::new("admin.tokens", reason));
    }
    Ok(SmolStr::new(name))
}
