//! Reads the CPU time and the memory of a process from `/proc`.

/// Resources used by one process, or by several that ran one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu_us: u64,
    /// Resident memory in KiB; for several processes the largest value.
    pub memory_kb: u64,
}

impl Usage {
    /// The usage of a running process; values that can't be read are 0.
    pub fn of_process(process: u32) -> Self {
        let field = |file: &str, index: usize| -> Option<u64> {
            let text = std::fs::read_to_string(format!("/proc/{process}/{file}")).ok()?;
            text.split_whitespace().nth(index)?.parse().ok()
        };
        let page_kb = rustix::param::page_size() as u64 / 1024;
        let cpu_ns = field("schedstat", 0).unwrap_or(0);
        let resident_pages = field("statm", 1).unwrap_or(0);
        Self {
            cpu_us: cpu_ns / 1000,
            memory_kb: resident_pages * page_kb,
        }
    }

    pub fn memory_mb(self) -> f64 {
        self.memory_kb as f64 / 1024.0
    }

    /// The usage of two processes that ran one after the other: the sum of their CPU times and the
    /// larger of their memory sizes.
    pub fn followed_by(self, next: Self) -> Self {
        Self {
            cpu_us: self.cpu_us + next.cpu_us,
            memory_kb: self.memory_kb.max(next.memory_kb),
        }
    }
}

/// Largest resident memory of a process since its start, in KiB; 0 if it can't be read.
pub fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
