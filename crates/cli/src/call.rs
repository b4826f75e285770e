//! Calls to a control process.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use awc::Client;
use base::admin::ErrorBody;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{AddressSnafu, AnswerSnafu, Error};

/// Time that a command may take.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// Variable that names the address when no flag does.
const VARIABLE: &str = "JTALLY_AT";

/// Client of one control process.
pub struct Control {
    /// Its address.
    pub address: SocketAddr,
    client: Client,
}

impl Control {
    /// Opens a client for the address given, or for the variable's.
    pub fn open(at: Option<&str>) -> Result<Self, Error> {
        let at = at.map(str::to_owned).or_else(|| std::env::var(VARIABLE).ok());
        let text = at.ok_or(Error::NoAddress)?;
        let address = text.parse().ok();
        let address = address.ok_or_else(|| AddressSnafu { text }.build())?;
        Ok(Self::at(address))
    }

    /// Opens a client for an address.
    pub fn at(address: SocketAddr) -> Self {
        Self { address, client: Client::builder().timeout(TIMEOUT).finish() }
    }

    /// Reads from a path.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Sends a body to a path.
    pub async fn put<T: DeserializeOwned>(&self, path: &str, body: String) -> Result<T, Error> {
        self.call(Method::PUT, path, body).await
    }

    /// Deletes what is at a path.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::DELETE, path, String::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, Error> {
        let address = self.address;
        let reach = |what: String| Error::Reach { address, what };
        let request = self.client.request(method, format!("http://{address}{path}"));
        let request = request.content_type("application/json");
        let mut response =
            request.send_body(body).await.map_err(|error| reach(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| reach(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body).context(AnswerSnafu { address });
        }
        let refusal = serde_json::from_slice(&body)
            .unwrap_or_else(|_| ErrorBody::new(String::from_utf8_lossy(&body)));
        Err(Error::Refused { status: status.as_u16(), refusal })
    }
}

/// Percent-encodes a part of a path or query.
pub fn encode(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| if plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
