//! The platform's object API over HTTP.

use std::net::IpAddr;
use std::time::Duration;

use async_trait::async_trait;
use chicoryloom_policy::id;
use chicoryloom_wire::generated::platform as raw;
use chicoryloom_wire::platform::Changes;
use chicoryloom_wire::platform::Host;
use chicoryloom_wire::platform::Kind;
use chicoryloom_wire::platform::Object;
use reqwest::Client;
use reqwest::Method;
use reqwest::StatusCode;
use reqwest::Url;
use serde::de::DeserializeOwned;

use super::Error;
use super::Step;
use super::Store;
use super::Update;
use crate::config;

/// Maximum number of idle connections kept to the platform.
const IDLE_CONNECTIONS: usize = 2;
/// Attempts to determine the outcome of a write whose answer was lost.
const MAX_SETTLE_ATTEMPTS: usize = 3;

/// The platform's object API over HTTP.
#[derive(Debug)]
pub(crate) struct HttpStore {
    client: Client,
    url: Url,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client whose connections use `source` as their local address.
    pub(crate) fn new(
        settings: &config::platform::Platform,
        source: IpAddr,
    ) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .referer(false)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .local_address(source)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client, url: settings.url.clone(), timeout: settings.timeout })
    }

    fn url(&self, path: &str) -> Url {
        let mut url = self.url.clone();
        url.set_path(path);
        url
    }

    fn no_answer(&self, step: Step, error: &reqwest::Error) -> Error {
        let peer = self.url.authority().to_owned();
        Error::NoAnswer { step, peer, reason: error.to_string() }
    }

    async fn send(
        &self,
        step: Step,
        request: reqwest::RequestBuilder,
        timeout: Duration,
    ) -> Result<reqwest::Response, Error> {
        let sent = request.timeout(timeout).send().await;
        sent.map_err(|error| self.no_answer(step, &error))
    }

    async fn read<T: DeserializeOwned>(
        &self,
        step: Step,
        response: reqwest::Response,
    ) -> Result<T, Error> {
        if !response.status().is_success() {
            return Err(Error::Refused { step, status: response.status().as_u16() });
        }
        response.json().await.map_err(|error| self.no_answer(step, &error))
    }

    async fn try_write(
        &self,
        method: &Method,
        update: &Update,
        write: &str,
    ) -> Result<id::Revision, Error> {
        let url = self.url(&format!("/v1/objects/{}/{}", update.kind, update.name));
        let body = raw::Put {
            expected: update.expected.0,
            value: update.value.clone(),
            write: write.to_owned(),
        };
        let request = self.client.request(method.clone(), url).json(&body);
        let response = self.send(Step::Put, request, self.timeout).await?;
        if response.status() == StatusCode::CONFLICT {
            let version: raw::Version =
                response.json().await.map_err(|error| self.no_answer(Step::Put, &error))?;
            return Err(Error::Conflict(id::Revision(version.version)));
        }
        let version: raw::Version = self.read(Step::Put, response).await?;
        Ok(id::Revision(version.version))
    }

    /// Returns the version that a write created, if the stored object shows that it took effect.
    async fn written_version(
        &self,
        update: &Update,
        write: &str,
    ) -> Result<Option<id::Revision>, Error> {
        let object = self.get(update.kind, &update.name).await?;
        Ok(object.filter(|object| object.write == write).map(|object| object.version))
    }

    /// Applies a conditional update; if the answer is lost, determines the outcome by reading the
    /// object back and repeating the update.
    async fn write(&self, method: &Method, update: Update) -> Result<id::Revision, Error> {
        let write = format!("{:032x}", rand::random::<u128>());
        let mut last = match self.try_write(method, &update, &write).await {
            Err(error @ Error::NoAnswer { .. }) => error,
            settled => return settled,
        };
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            if let Ok(Some(version)) = self.written_version(&update, &write).await {
                return Ok(version);
            }
            // The repeated write has the same condition, so at most one of the writes takes effect.
            match self.try_write(method, &update, &write).await {
                Err(error @ Error::NoAnswer { .. }) => last = error,
                Err(Error::Conflict(version)) => {
                    let settled = self.written_version(&update, &write).await?;
                    return settled.ok_or(Error::Conflict(version));
                }
                settled => return settled,
            }
        }
        Err(last)
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        let request = self.client.get(self.url(&format!("/v1/objects/{kind}/{name}")));
        let response = self.send(Step::Get, request, self.timeout).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object: raw::Object = self.read(Step::Get, response).await?;
        Ok(object.try_into().ok())
    }

    async fn put(&self, update: Update) -> Result<id::Revision, Error> {
        self.write(&Method::PUT, update).await
    }

    async fn delete(
        &self,
        kind: Kind,
        name: &str,
        expected: id::Revision,
    ) -> Result<id::Revision, Error> {
        let update = Update { kind, name: name.to_owned(), value: String::new(), expected };
        self.write(&Method::DELETE, update).await
    }

    async fn changes(&self, since: id::Revision, wait: Duration) -> Result<Changes, Error> {
        let mut url = self.url("/v1/changes");
        url.query_pairs_mut()
            .append_pair("since", &since.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string());
        let request = self.client.get(url);
        let response = self.send(Step::Watch, request, self.timeout + wait).await?;
        let changes: raw::Changes = self.read(Step::Watch, response).await?;
        Ok(changes.into())
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let request = self.client.get(self.url("/v1/hosts"));
        let response = self.send(Step::Hosts, request, self.timeout).await?;
        let hosts: raw::Hosts = self.read(Step::Hosts, response).await?;
        Ok(hosts.hosts.into_iter().filter_map(|host| host.try_into().ok()).collect())
    }
}
