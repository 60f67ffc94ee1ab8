//! Reads the body as a job, or as a request that becomes a job of one task.

use crate::class;
use crate::code;
use crate::filter::{Context, Draft, Kind};
use crate::refusal::Refusal;
use crate::submission;
use crate::wire::caller;

/// Sets the draft's job from its body. Refuses a body that can't be read, a client account that
/// isn't a name, and a request that has no key and isn't idempotent.
pub fn filter(_cx: &Context, mut draft: Draft) -> Result<Draft, Refusal> {
    let (job, idempotent) = match draft.kind {
        // The tasks of a job are idempotent by contract; a task that must run only once is sent as
        // a request.
        Kind::Job => (serde_json::from_slice::<submission::Job>(&draft.body), true),
        Kind::Request => read_request(&draft.body),
    };
    let job = job.map_err(|e| Refusal::detailed(code::Code::BadJson, &e.to_string()))?;
    if !class::is_name(&job.client_account) {
        return Err(Refusal::detailed(
            code::Code::BadTask,
            "customer isn't a name",
        ));
    }
    if !idempotent && draft.key.is_none() {
        return Err(Refusal::new(code::Code::KeyMissing));
    }
    draft.job = Some(job);
    draft.idempotent = idempotent;
    Ok(draft)
}

fn read_request(body: &[u8]) -> (serde_json::Result<submission::Job>, bool) {
    match serde_json::from_slice::<caller::Request>(body) {
        Ok(req) => {
            let idempotent = req.idempotent;
            (Ok(req.into_job()), idempotent)
        }
        Err(e) => (Err(e), false),
    }
}
