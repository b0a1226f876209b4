//! The client's addresses and connections: which daemon to use, and for how long.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};

use crate::client::ClientOptions;
use crate::client::error::{CallFailure, ClientError};
use crate::pb::requests_client::RequestsClient;
use crate::pb::{Address, LocateReply, LocateRequest};

/// Longest wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(2);

/// Time between probes of a connection with calls under way. A daemon that is
/// paused or cut off closes nothing; without probes its callers would wait for ever.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest wait for the answer to a probe.
const PROBE_WAIT: Duration = Duration::from_secs(3);

/// Longest wait for the answer to an address lookup.
const LOCATE_WAIT: Duration = Duration::from_secs(2);

/// Time for which a failed address is passed over.
const AVOID: Duration = Duration::from_secs(2);

/// First line of a certificate in PEM.
const CERTIFICATE_MARK: &str = "-----BEGIN CERTIFICATE-----";

type LinkSlot = Arc<tokio::sync::Mutex<Option<Channel>>>;

/// An open connection to one daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonLink {
    pub(crate) address: String,
    pub(crate) channel: Channel,
}

/// Addresses known, connections open, and the key that goes on each call.
pub(crate) struct LinkPool {
    given: Vec<String>,
    bearer: MetadataValue<Ascii>,
    tls: Option<ClientTlsConfig>,
    state: Mutex<PoolState>,
    locating: tokio::sync::Mutex<()>,
}

struct PoolState {
    slots: IndexMap<String, LinkSlot>,
    located: Vec<Address>,
    located_until: Option<Instant>,
    avoided_until: IndexMap<String, Instant>,
    rng: SmallRng,
}

impl LinkPool {
    pub(crate) fn new(options: &ClientOptions) -> Result<Self, ClientError> {
        if options.addresses.is_empty() {
            return Err(ClientError::NoAddress);
        }
        let mut bearer: MetadataValue<Ascii> = format!("Bearer {}", options.key)
            .parse()
            .map_err(|_| ClientError::Key)?;
        bearer.set_sensitive(true);
        crate::tls::install_provider();
        let tls = options.ca_pem.as_deref().map(tls_config).transpose()?;
        let pool = Self {
            given: options.addresses.clone(),
            bearer,
            tls,
            state: Mutex::new(PoolState {
                slots: IndexMap::new(),
                located: Vec::new(),
                located_until: None,
                avoided_until: IndexMap::new(),
                rng: SmallRng::seed_from_u64(options.seed),
            }),
            locating: tokio::sync::Mutex::new(()),
        };
        for address in &pool.given {
            pool.endpoint(address)?;
        }
        Ok(pool)
    }

    /// Returns a call's request with the key on it.
    pub(crate) fn with_key<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let metadata = request.metadata_mut();
        metadata.insert("authorization", self.bearer.clone());
        request
    }

    /// Opens a connection to one of the daemons that callers should use now.
    ///
    /// An error says that nothing was sent.
    pub(crate) async fn pick(&self) -> Result<DaemonLink, ClientError> {
        self.refresh().await?;
        self.open_any(self.current_addresses()).await
    }

    /// Opens a connection to one of the addresses given at the start.
    pub(crate) async fn pick_given(&self) -> Result<DaemonLink, ClientError> {
        self.open_any(self.given_addresses()).await
    }

    /// Passes over an address for a while after a failure there.
    pub(crate) async fn avoid(&self, address: &str) {
        let slot = self.slot(address);
        *slot.lock().await = None;
        let until = Instant::now() + AVOID;
        let mut state = self.lock();
        state.avoided_until.insert(address.to_owned(), until);
    }

    /// Returns the addresses given at the start.
    pub(crate) fn given(&self) -> &[String] {
        &self.given
    }

    /// Returns a random span between half of `span` and all of it.
    pub(crate) fn jitter(&self, span: Duration) -> Duration {
        span.mul_f64(self.lock().rng.random_range(0.5..1.0))
    }

    /// Asks for addresses when the last answer may no longer be kept.
    async fn refresh(&self) -> Result<(), ClientError> {
        if self.is_fresh() {
            return Ok(());
        }
        let _turn = self.locating.lock().await;
        if self.is_fresh() {
            return Ok(());
        }
        for _ in 0..self.given.len() + 1 {
            // The last answer may be stale but is the best start; an empty one falls back.
            let Ok(link) = self.open_any(self.current_addresses()).await else {
                break;
            };
            match self.locate(&link).await {
                Ok(reply) => {
                    self.keep(reply);
                    return Ok(());
                }
                Err(CallFailure::Rejected(code, reason)) => {
                    return Err(ClientError::Rejected { code, reason });
                }
                Err(CallFailure::Broken(_) | CallFailure::Busy(_)) => {
                    self.avoid(&link.address).await;
                }
            }
        }
        // Nobody answered: what is known stays in use rather than nothing.
        Ok(())
    }

    async fn locate(&self, link: &DaemonLink) -> Result<LocateReply, CallFailure> {
        let mut client = RequestsClient::new(link.channel.clone());
        let call = client.locate(self.with_key(LocateRequest {}));
        let reply = tokio::time::timeout(LOCATE_WAIT, call)
            .await
            .unwrap_or_else(|_| Err(Status::unavailable("no answer to the address lookup")));
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| CallFailure::from(&status))
    }

    fn keep(&self, reply: LocateReply) {
        let until = Instant::now() + Duration::from_millis(u64::from(reply.keep_ms));
        let mut state = self.lock();
        state.located = reply.addresses;
        state.located_until = Some(until);
    }

    async fn open_any(&self, mut candidates: Vec<Address>) -> Result<DaemonLink, ClientError> {
        let mut last = ClientError::NoAddress;
        while let Some(address) = self.draw(&mut candidates) {
            match self.open(&address).await {
                Ok(channel) => return Ok(DaemonLink { address, channel }),
                Err(error) => last = error,
            }
            self.avoid(&address).await;
        }
        Err(last)
    }

    /// Opens a connection to one address, or returns the one that is open.
    pub(crate) async fn open(&self, address: &str) -> Result<Channel, ClientError> {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(channel) = &*slot {
            return Ok(channel.clone());
        }
        // Connecting apart from calling tells "certainly not sent" from "perhaps sent".
        let channel =
            self.endpoint(address)?
                .connect()
                .await
                .map_err(|error| ClientError::NotSent {
                    reason: format!("{address}: {}", root_cause(&error)),
                })?;
        *slot = Some(channel.clone());
        Ok(channel)
    }

    fn endpoint(&self, address: &str) -> Result<Endpoint, ClientError> {
        let refuse = |reason: String| ClientError::Address {
            found: address.to_owned(),
            reason,
        };
        address
            .parse::<std::net::SocketAddr>()
            .map_err(|error| refuse(error.to_string()))?;
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
            .map_err(|error| refuse(error.to_string()))?
            .connect_timeout(CONNECT_WAIT)
            .http2_keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_WAIT)
            .tcp_nodelay(true);
        let Some(tls) = &self.tls else {
            return Ok(endpoint);
        };
        endpoint
            .tls_config(tls.clone())
            .map_err(|error| ClientError::Tls {
                reason: root_cause(&error),
            })
    }

    fn slot(&self, address: &str) -> LinkSlot {
        let mut state = self.lock();
        Arc::clone(state.slots.entry(address.to_owned()).or_default())
    }

    fn is_fresh(&self) -> bool {
        let until = self.lock().located_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn current_addresses(&self) -> Vec<Address> {
        let mut addresses = self.lock().located.clone();
        for given in self.given_addresses() {
            let known = addresses.iter().any(|a| a.address == given.address);
            if !known {
                // Weight 0: drawn only when no located address can be reached.
                addresses.push(given);
            }
        }
        addresses
    }

    fn given_addresses(&self) -> Vec<Address> {
        let unweighted = |address: &String| Address {
            address: address.clone(),
            ..Address::default()
        };
        self.given.iter().map(unweighted).collect()
    }

    /// Takes one candidate out: by weight among those not avoided, else any.
    fn draw(&self, candidates: &mut Vec<Address>) -> Option<String> {
        let mut state = self.lock();
        let now = Instant::now();
        state.avoided_until.retain(|_, until| *until > now);
        let rank = |address: &Address| {
            let avoided = state.avoided_until.contains_key(&address.address);
            (avoided, address.weight == 0)
        };
        let best = candidates.iter().map(rank).min()?;
        let eligible: Vec<usize> = (0..candidates.len())
            .filter(|index| rank(&candidates[*index]) == best)
            .collect();
        let weight = |index: &usize| u64::from(candidates[*index].weight.max(1));
        let total: u64 = eligible.iter().map(weight).sum();
        let mut point = state.rng.random_range(0..total);
        let chosen = eligible.iter().copied().find(|index| {
            let reached = point < weight(index);
            point = point.saturating_sub(weight(index));
            reached
        })?;
        Some(candidates.swap_remove(chosen).address)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The TLS library takes any text and only fails later, when connecting.
fn tls_config(ca_pem: &str) -> Result<ClientTlsConfig, ClientError> {
    if !ca_pem.contains(CERTIFICATE_MARK) {
        return Err(ClientError::Tls {
            reason: format!("it has no line {CERTIFICATE_MARK}"),
        });
    }
    let authority = Certificate::from_pem(ca_pem);
    Ok(ClientTlsConfig::new().ca_certificate(authority))
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(deeper) = cause.source() {
        cause = deeper;
    }
    cause.to_string()
}
