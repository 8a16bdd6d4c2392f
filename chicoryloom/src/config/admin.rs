//! Access of operators.

use std::fmt;

use chicoryloom_wire::generated::settings as raw;

use super::Fault;
use super::secret;

/// Who may use the administration API.
#[derive(Clone, Default)]
pub struct Admin {
    /// Operator tokens; none means that nobody may.
    pub tokens: Vec<String>,
}

impl fmt::Debug for Admin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Admin {{ {} tokens }}", self.tokens.len())
    }
}

impl TryFrom<raw::Admin> for Admin {
    type Error = Fault;

    fn try_from(raw: raw::Admin) -> Result<Self, Self::Error> {
        let read = |text: &String| secret::read("admin.tokens", text);
        Ok(Self { tokens: raw.tokens.iter().map(read).collect::<Result<_, _>>()? })
    }
}
