//! Checks the number of tasks and the values that each declares.

use crate::class;
use crate::code;
use crate::filter::{Context, Draft};
use crate::refusal::Refusal;
use crate::submission;

/// Longest declared run time, in milliseconds.
const MAX_RUN_MS: u64 = 600_000;

/// Longest name of a task's kind, in bytes.
const MAX_KIND_BYTES: usize = 64;

/// Largest amount of a resource that a task may declare; sums of larger ones could overflow.
const MAX_NEED: u32 = 16_000_000;

/// Passes a draft whose number of tasks the class allows and whose tasks' values are in range. A
/// refusal names the task and the field.
pub fn filter(cx: &Context, draft: Draft) -> Result<Draft, Refusal> {
    let Some(job) = &draft.job else {
        return Err(Refusal::new(code::Code::BadJson));
    };
    let config = cx.config.as_ref();
    let class = config.and_then(|config| config.document.class(&job.class));
    let most = class.map_or(0, |class| class.max_tasks as usize);
    if job.tasks.is_empty() || job.tasks.len() > most {
        let found = match job.tasks.len() {
            n if n > class::MAX_TASKS as usize => format!("over {}", class::MAX_TASKS),
            n => n.to_string(),
        };
        let detail = format!("{found} tasks, at most {most} are allowed");
        return Err(Refusal::detailed(code::Code::TaskCount, &detail));
    }
    for (i, task) in job.tasks.iter().enumerate() {
        check(task).map_err(|field| {
            let detail = format!("tasks[{i}].{field}");
            Refusal::detailed(code::Code::BadTask, &detail)
        })?;
    }
    Ok(draft)
}

fn check(task: &submission::Task) -> Result<(), &'static str> {
    let needs = &task.needs;
    match () {
        () if task.kind.len() > MAX_KIND_BYTES => Err("kind"),
        () if task.run_ms > MAX_RUN_MS => Err("run_ms"),
        () if needs.processor_milli > MAX_NEED => Err("needs.processor_milli"),
        () if needs.memory_mb > MAX_NEED => Err("needs.memory_mb"),
        () if needs.accelerators > MAX_NEED => Err("needs.accelerators"),
        () => Ok(()),
    }
}
