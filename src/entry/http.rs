//! The HTTP side of an entry: the paths of callers and operators; all refusals have the same form.

use std::net;
use std::sync::Arc;
use std::time;

use compact_str::CompactString;
use gotham::hyper::{StatusCode, Uri};

use crate::clock;
use crate::code::Code;
use crate::count;
use crate::decide::inherit;
use crate::entry::core::Core;
use crate::entry::offload;
use crate::entry::operate;
use crate::entry::spans;
use crate::entry::status;
use crate::filter;
use crate::id;
use crate::key;
use crate::refusal::Refusal;
use crate::submission::{Ending, Submission};
use crate::trace::{self, Hop};
use crate::wire::caller;
use crate::wire::clients::connection::Held;
use crate::wire::server::{self, Incoming, Reply};

/// Binds the HTTP server for callers and operators.
pub async fn bind(addr: net::SocketAddr, core: Arc<Core>) -> anyhow::Result<server::Server> {
    let handling = core.clone();
    let handler = move |incoming: Incoming| {
        let core = handling.clone();
        async move { route(&core, incoming).await }
    };
    server::bind_for(core.clients.clone(), addr, handler).await
}

async fn route(core: &Arc<Core>, incoming: Incoming) -> Reply {
    let path = incoming.uri.path().to_owned();
    match (incoming.method.as_str(), path.as_str()) {
        ("POST", "/v1/jobs") => submit(core, filter::Kind::Job, incoming).await,
        ("POST", "/v1/requests") => submit(core, filter::Kind::Request, incoming).await,
        ("DELETE", _) if path.starts_with("/v1/jobs/") => cancel(core, &incoming.uri).await,
        ("GET", "/v1/config") => operate::show(core),
        ("PUT", "/v1/config") => match incoming.read_body(operate::MAX_CHANGE).await {
            Ok(body) => operate::change(core, &body.bytes).await,
            Err(refusal) => Reply::refusal(&refusal),
        },
        ("GET", "/v1/status") => Reply::json(StatusCode::OK, &status::status(core)),
        ("POST", "/v1/drain") => operate::drain(core),
        ("GET", "/metrics") => Reply::text(StatusCode::OK, status::metrics(core)),
        ("GET", "/healthz") => Reply::text(StatusCode::OK, "ok\n".to_owned()),
        ("GET", "/readyz/owner") if core.is_ready() && core.owns_any() => {
            Reply::text(StatusCode::OK, "owner\n".to_owned())
        }
        ("GET", "/readyz/owner") => {
            Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not an owner\n".to_owned())
        }
        ("GET", "/readyz") if core.is_ready() => Reply::text(StatusCode::OK, "ready\n".to_owned()),
        ("GET", "/readyz") => {
            Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
        _ => Reply::refusal(&Refusal::detailed(Code::NotFound, &path)),
    }
}

async fn submit(core: &Arc<Core>, kind: filter::Kind, incoming: Incoming) -> Reply {
    core.messages.add(count::Kind::Submit, 1);
    core.messages.add(count::Kind::Reply, 1);
    let begun = time::Instant::now();
    let hop = Hop::first(incoming.header(trace::TRACEPARENT));
    let record = |key: Option<&id::JobKey>, failure: Option<Code>| {
        if let Some(hop) = hop {
            spans::record_submission(hop, begun, &core.cfg.id, key, failure);
        }
    };
    match receive(core, kind, hop, incoming).await {
        Ok((submission, inputs, _held)) => {
            let ending = core.run_submission(submission.clone()).await;
            offload::remove_inputs(&core.platform.objects, inputs, &ending);
            record(Some(&submission.key), ending.failure());
            reply(core, &submission.key, &ending).await
        }
        Err(refusal) => {
            record(None, Some(refusal.code));
            Reply::refusal(&refusal)
        }
    }
}

/// Reads a submission, runs it through the filter chain and stores its large inputs. Returns it
/// with the names of the stored inputs and the memory that it holds.
async fn receive(
    core: &Core,
    kind: filter::Kind,
    hop: Option<Hop>,
    incoming: Incoming,
) -> Result<(Arc<Submission>, Vec<CompactString>, Held), Refusal> {
    let key = incoming
        .header(caller::IDEMPOTENCY_KEY)
        .map(CompactString::from);
    // A header that is far longer than any trace context would be copied into every start, so it is
    // dropped.
    let header = incoming.header(trace::TRACEPARENT);
    let header = header.filter(|text| text.len() <= trace::MAX_TRACEPARENT);
    let traceparent = match hop {
        Some(hop) => Some(hop.traceparent()),
        None => header.map(CompactString::from),
    };
    let cx = filter::Context {
        config: core.config.get(),
        draining: core.is_draining(),
    };
    let received = incoming.read_body(caller::MAX_BODY).await?;
    let draft = filter::Draft {
        kind,
        key,
        traceparent,
        body: received.bytes,
        job: None,
        idempotent: false,
    };
    let draft = filter::pass(&cx, draft)?;
    let submission = to_submission(draft);
    let mut submission = submission.ok_or_else(|| Refusal::new(Code::BadJson))?;
    let inputs = offload::store_inputs(&core.platform.objects, &mut submission).await?;
    Ok((Arc::new(submission), inputs, received.held))
}

/// Turns a draft that has passed the filter chain into a submission; `None` if it has no job.
fn to_submission(draft: filter::Draft) -> Option<Submission> {
    let job = draft.job?;
    let key = match draft.key {
        Some(key) => key,
        // No caller knows this key, so a request without a key can't be resubmitted.
        None => key::mint(clock::since_epoch(), rand::random()).into(),
    };
    Some(Submission {
        minted_ms: minted_ms(&key),
        key: key::scoped(&job.client_account, &key),
        digest: key::digest(&draft.body),
        idempotent: draft.idempotent,
        job,
        traceparent: draft.traceparent,
    })
}

/// The time at which a key was minted, in milliseconds since the Unix epoch, unless the key holds
/// no time or one that is ahead of this process's clock by more than [`inherit::CLOCK_SKEW`].
///
/// A time in the future is ignored because the key would count as new when it is submitted again
/// after a takeover.
fn minted_ms(key: &str) -> Option<u64> {
    let minted = key::minted_at(key)?;
    let latest = clock::since_epoch() + inherit::CLOCK_SKEW;
    (minted <= latest).then_some(minted.as_millis() as u64)
}

async fn cancel(core: &Core, uri: &Uri) -> Reply {
    let key = uri.path().strip_prefix("/v1/jobs/").unwrap_or_default();
    let query = uri.query().unwrap_or_default();
    let account = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("customer="));
    let Some(account) = account.filter(|_| !key.is_empty()) else {
        let detail = "DELETE takes /v1/jobs/KEY?customer=NAME";
        return Reply::refusal(&Refusal::detailed(Code::KeyMissing, detail));
    };
    let key = key::scoped(account, key);
    let ending = core.cancel_job(key.clone()).await;
    match &*ending {
        // The job was cancelled, as the caller asked.
        Ending::Failed(refusal) if refusal.code == Code::Cancelled => {
            Reply::json(StatusCode::OK, refusal)
        }
        Ending::Complete(_) | Ending::Failed(_) => reply(core, &key, &ending).await,
    }
}

/// Makes the reply to the caller from a job's ending.
async fn reply(core: &Core, key: &str, ending: &Ending) -> Reply {
    match ending {
        Ending::Complete(answers) => {
            let answers = match offload::load_answers(&core.platform.objects, answers).await {
                Ok(answers) => answers,
                Err(refusal) => return Reply::refusal(&refusal),
            };
            let body = caller::JobAnswer {
                key: key.split_once('/').map_or(key, |(_, key)| key).into(),
                state: "complete".into(),
                answers,
            };
            Reply::json(StatusCode::OK, &body)
        }
        Ending::Failed(refusal) => Reply::refusal(refusal),
    }
}
