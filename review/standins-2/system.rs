//! Starts the project's two programs as processes on loopback addresses, and ends all that it started.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Call};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Signals of Linux.
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a child this signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Ports of the machines, all below the range of outgoing connections.
const LINKS_PORT: u16 = 17_720;
const CALLERS_PORT: u16 = 18_161;
const READY_PORT: u16 = 18_167;
const ANNOUNCE_PORT: u16 = 18_166;
const WORKER_PORT: u16 = 18_165;
const METRICS_PORT: u16 = 19_464;
const STORE_PORT: u16 = 18_169;
/// Where the proxy before an entry listens.
pub const PROXY_PORT: u16 = 18_168;

/// Where the build command of the deploy file puts the programs.
const PROGRAMS: &str = "target/round";

/// A loopback network of its own, with an address for each machine.
#[derive(Clone, Copy)]
pub struct Network(u8);

impl Network {
    /// Finds a network whose store address is free.
    pub fn find() -> io::Result<Network> {
        let first = (std::process::id() % 100) as u8 + 100;
        let found = (first..=250)
            .chain(20..100)
            .map(Network)
            .find(|network| TcpListener::bind(network.store()).is_ok());
        found.ok_or_else(|| io::Error::other("no free loopback network"))
    }

    pub fn ip(self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 77, self.0, machine))
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.ip(250), STORE_PORT)
    }
}

/// A process of the system, on a machine of its own.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Prepares an entry; `start` starts it.
    pub fn entry(network: Network, number: u8, zone: &str, folder: &Path) -> io::Result<Machine> {
        let (name, ip) = (format!("front-{number}"), network.ip(number));
        let settings = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\"callers\":\"{ip}:{CALLERS_PORT}\",\
             \"ready\":\"{ip}:{READY_PORT}\",\"metrics\":\"{ip}:{METRICS_PORT}\",\"store\":\"{}\",\"far\":1.5,\
             \"in_force_ms\":2000,\"resubmit_ms\":1300,\"stop_within_s\":6}}",
            network.store()
        );
        Machine::prepare(name, ip, "lovagemill-platform-entry", &settings, folder)
    }

    /// Prepares an agent beside the worker on the same machine; `start` starts it.
    pub fn agent(network: Network, number: u8, zone: &str, folder: &Path) -> io::Result<Machine> {
        let (name, ip) = (format!("side-{number}"), network.ip(number));
        let settings = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\"announce\":\"{ip}:{ANNOUNCE_PORT}\",\
             \"backend\":\"{ip}:{WORKER_PORT}\",\"links\":\"{ip}:{LINKS_PORT}\",\"metrics\":\"{ip}:{METRICS_PORT}\",\
             \"store\":\"{}\",\"resubmit_ms\":1300,\"longest_lease_ms\":1000,\"stop_within_s\":6}}",
            network.store()
        );
        Machine::prepare(name, ip, "lovagemill-platform-agent", &settings, folder)
    }

    fn prepare(
        name: String,
        ip: IpAddr,
        program: &'static str,
        settings: &str,
        folder: &Path,
    ) -> io::Result<Machine> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        Ok(Machine {
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            program,
            settings: path,
            child: None,
        })
    }

    /// Starts the process. Its output goes to a file in the temporary folder.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(Path::new(PROGRAMS).join(self.program));
        command.env_clear().env("LOVAGEMILL_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: prctl is a plain system call and allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that hasn't been waited for, so that its id is still its own.
            unsafe {
                kill(child.id() as i32, signal);
            }
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns what the process has written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    pub fn announce(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ANNOUNCE_PORT)
    }

    pub fn worker(&self) -> SocketAddr {
        SocketAddr::new(self.ip, WORKER_PORT)
    }

    /// Waits until the entry says that it is ready and is linked to `agents` agents; false after `limit`.
    pub fn wait_until_ready(&self, agents: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let ready = SocketAddr::new(self.ip, READY_PORT);
        let call = Call {
            method: "GET",
            path: "/-/ready",
            headers: &[],
            body: "",
        };
        while Instant::now() < until {
            let answer = http::call(ready, &call, Duration::from_millis(500));
            let takes_work = self.log().matches("\"takes_work\":true").count();
            if answer.is_ok_and(|answer| answer.status == 200) && takes_work >= agents {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
