//! Client of the administration API.

use std::time::Duration;

use reqwest::Method;
use reqwest::Response;
use reqwest::Url;
use reqwest::header::ETAG;
use reqwest::header::IF_MATCH;
use serde_json::Value;
use serde_json::json;

use crate::error::Error;

/// Timeout of a call, from connecting to the end of the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A document with its version.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) version: u64,
    pub(crate) text: String,
}

/// The administration API of one host.
pub(crate) struct Client {
    client: reqwest::Client,
    url: Url,
    token: String,
}

impl Client {
    /// Returns a client for an address such as `10.0.0.1:9000`.
    pub(crate) fn new(admin: &str, token: String) -> Result<Self, Error> {
        let text = if admin.contains("://") { admin.to_owned() } else { format!("http://{admin}") };
        let url = text.parse().map_err(|_| Error::Usage(format!("{admin:?} is no address")))?;
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|error| Error::NoAnswer(admin.to_owned(), error))?;
        Ok(Self { client, url, token })
    }

    /// Sends a request and returns the response, or an error if its status is not a success.
    async fn send(
        &self,
        method: Method,
        path: &[&str],
        query: &[(&str, &Option<String>)],
        version: Option<u64>,
        body: String,
    ) -> Result<Response, Error> {
        let mut url = self.url.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.clear().push("v1").extend(path);
        }
        for (name, value) in query {
            if let Some(value) = value {
                url.query_pairs_mut().append_pair(name, value);
            }
        }
        let mut request = self.client.request(method, url).bearer_auth(&self.token).body(body);
        if let Some(version) = version {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        let response = request.send().await.map_err(|error| self.no_answer(error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response.text().await.unwrap_or_default();
        let body = serde_json::from_str(&text).unwrap_or_else(|_| json!({ "detail": text }));
        Err(Error::Refused { status: status.as_u16(), body })
    }

    fn no_answer(&self, error: reqwest::Error) -> Error {
        Error::NoAnswer(self.url.authority().to_owned(), error.without_url())
    }

    async fn json(&self, response: Response) -> Result<Value, Error> {
        response.json().await.map_err(|error| self.no_answer(error))
    }

    /// Gets a resource as JSON.
    pub(crate) async fn get_json(
        &self,
        path: &str,
        query: &[(&str, &Option<String>)],
    ) -> Result<Value, Error> {
        let response = self.send(Method::GET, &[path], query, None, String::new()).await?;
        self.json(response).await
    }

    pub(crate) async fn check(&self, text: String) -> Result<Value, Error> {
        let response = self.send(Method::POST, &["check"], &[], None, text).await?;
        self.json(response).await
    }

    pub(crate) async fn document(&self, service: &str) -> Result<Document, Error> {
        let path = ["documents", service];
        let response = self.send(Method::GET, &path, &[], None, String::new()).await?;
        let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
        let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok()).unwrap_or_default();
        let text = response.text().await.map_err(|error| self.no_answer(error))?;
        Ok(Document { version, text })
    }

    /// Replaces the given version of a document, or creates the document if `version` is `None`.
    pub(crate) async fn put(
        &self,
        service: &str,
        version: Option<u64>,
        text: String,
    ) -> Result<Value, Error> {
        let path = ["documents", service];
        let response = self.send(Method::PUT, &path, &[], version, text).await?;
        self.json(response).await
    }

    pub(crate) async fn delete(&self, service: &str, version: u64) -> Result<Value, Error> {
        let path = ["documents", service];
        let response = self.send(Method::DELETE, &path, &[], Some(version), String::new()).await?;
        self.json(response).await
    }

    pub(crate) async fn grant(&self, workspace: &str, key: Option<&str>) -> Result<Value, Error> {
        let body = json!({ "workspace": workspace, "key": key }).to_string();
        let response = self.send(Method::POST, &["keys"], &[], None, body).await?;
        self.json(response).await
    }

    pub(crate) async fn withdraw(&self, digest: &str) -> Result<Value, Error> {
        let path = ["keys", digest];
        let response = self.send(Method::DELETE, &path, &[], None, String::new()).await?;
        self.json(response).await
    }
}
