//! HTTP client for the operators' API of a control process.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use awc::Client;
use base::admin::ErrorBody;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{Error, InvalidAddressSnafu, InvalidResponseSnafu};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Environment variable with the address to use if no flag gives one.
const ADDRESS_VARIABLE: &str = "JTALLY_AT";

/// Client of one control process.
pub struct ControlClient {
    /// Address of the process for operators.
    pub address: SocketAddr,
    client: Client,
}

impl ControlClient {
    /// Creates a client for the given address, or for the one in `JTALLY_AT`.
    pub fn open(at: Option<&str>) -> Result<Self, Error> {
        let at = at.map(str::to_owned).or_else(|| std::env::var(ADDRESS_VARIABLE).ok());
        let text = at.ok_or(Error::MissingAddress)?;
        let address = text.parse().ok();
        let address = address.ok_or_else(|| InvalidAddressSnafu { text }.build())?;
        Ok(Self::new(address))
    }

    /// Creates a client for an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::builder().timeout(REQUEST_TIMEOUT).finish() }
    }

    /// Sends a GET request and parses the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Sends a PUT request with a JSON body and parses the response.
    pub async fn put<T: DeserializeOwned>(&self, path: &str, body: String) -> Result<T, Error> {
        self.call(Method::PUT, path, body).await
    }

    /// Sends a DELETE request and parses the response.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::DELETE, path, String::new()).await
    }

    /// Sends a request and parses the response; a refusal becomes an error.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, Error> {
        let address = self.address;
        let unreachable = |reason: String| Error::Unreachable { address, reason };
        let request = self.client.request(method, format!("http://{address}{path}"));
        let request = request.content_type("application/json");
        let mut response =
            request.send_body(body).await.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body).context(InvalidResponseSnafu { address });
        }
        let body = serde_json::from_slice(&body)
            .unwrap_or_else(|_| ErrorBody::new(String::from_utf8_lossy(&body)));
        Err(Error::Refused { status: status.as_u16(), body })
    }
}

/// Percent-encodes a segment of a path or a query value.
pub fn encode(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| if plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}
