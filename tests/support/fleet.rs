//! Starts a fleet of processes: the stand-in log, nodes and stand-in targets.

use std::time::Duration;

use tempfile::TempDir;

use super::{Client, Process, Request};

const LOG_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-log");
const NODE_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestled");
const TARGET_PROGRAM: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-target");

/// Time limit for a condition in [`wait_until`], so that the test fails instead of hanging.
const CONDITION_TIMEOUT_S: u64 = 30;

/// A target to start on a VM of its own, with the node in front of it.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    pub service: &'static str,
    pub zone: &'static str,
    /// Path that the target calls through its node for each request that it receives, if any.
    pub child_path: Option<&'static str>,
}

/// The zones, targets and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    pub zones: Vec<&'static str>,
    pub targets: Vec<TargetSpec>,
    /// Configuration changes for tenants and routes, as a JSON list. [`Fleet::configure`] adds the zones.
    pub changes: serde_json::Value,
}

/// One VM: a node and its target.
pub struct Vm {
    pub node: Process,
    pub target: Process,
    pub spec: TargetSpec,
}

/// A running fleet. Dropping it kills all its processes.
pub struct Fleet {
    pub client: Client,
    pub log: Process,
    pub vms: Vec<Vm>,
    settings_dir: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until every node has discovered every target.
    pub async fn start(spec: &FleetSpec) -> Self {
        let log = Process::start(LOG_PROGRAM, &["--listen", "127.0.0.1:0"]);
        let settings_dir = tempfile::tempdir().expect("a directory for settings");
        let mut fleet = Self { client: Client::new(), log, vms: Vec::new(), settings_dir };
        for target in &spec.targets {
            fleet.start_vm(target);
        }
        fleet.wait_for_members(spec.targets.len()).await;
        fleet
    }

    /// Starts another VM. Its node joins the fleet in the background.
    pub fn start_vm(&mut self, spec: &TargetSpec) {
        let index = self.vms.len();
        let file = self.settings_dir.path().join(format!("node-{index}.jsonc"));
        let text = format!(
            r#"{{
                // A node of the end-to-end tests.
                "availability_zone": "{}", "region": "test",
                "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
                "log_url": "http://{}", "log_level": "warn", "explain": true
            }}"#,
            spec.zone,
            self.log.address("")
        );
        std::fs::write(&file, text).expect("settings can be written");
        let node = Process::start(NODE_PROGRAM, &["--settings", &file.display().to_string()]);
        let children = match spec.child_path {
            Some(path) => serde_json::json!([{"path": path, "count": 1}]),
            None => serde_json::json!([]),
        };
        let target_settings = serde_json::json!({
            "service": spec.service,
            "node_caller": node.address("callers"),
            "node_admin": node.address("admin"),
            "children": children,
            "key_markers": ["fk_"],
        });
        let target =
            Process::start(TARGET_PROGRAM, &["--listen", "127.0.0.1:0", "--settings", &target_settings.to_string()]);
        self.vms.push(Vm { node, target, spec: spec.clone() });
    }

    pub fn caller_url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.vms[vm].node.address("callers"))
    }

    pub fn admin_url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.vms[vm].node.address("admin"))
    }

    pub fn target_url(&self, vm: usize, path: &str) -> String {
        format!("http://{}{path}", self.vms[vm].target.address(""))
    }

    /// Plans an intent on one node, confirms the plan, and returns the body of the response to the plan request.
    pub async fn publish_intent(
        &self,
        vm: usize,
        intent: &serde_json::Value,
        operator_key: Option<&str>,
    ) -> serde_json::Value {
        let mut request = Request::post(self.admin_url(vm, "/v1/plans"), intent.to_string());
        if let Some(operator_key) = operator_key {
            request = request.bearer_auth(operator_key);
        }
        let planned = self.client.send(&request).await;
        assert_eq!(planned.status, 200, "plan: {}", planned.body);
        let planned = planned.json();
        let id = planned["plan"]["id"].as_str().expect("a plan has an id").to_owned();
        let mut request = Request::post(self.admin_url(vm, &format!("/v1/plans/{id}/confirm")), "");
        if let Some(operator_key) = operator_key {
            request = request.bearer_auth(operator_key);
        }
        let confirmed = self.client.send(&request).await;
        assert_eq!(confirmed.status, 200, "confirm: {}", confirmed.body);
        assert!(confirmed.body.contains("committed"), "confirm: {}", confirmed.body);
        planned
    }

    /// Publishes the zones and changes of a specification, waits until every node has applied a configuration,
    /// and returns the secrets of the granted keys in order.
    pub async fn configure(&self, spec: &FleetSpec) -> Vec<String> {
        let zones = spec.zones.iter().map(|zone| serde_json::json!({"set_zone": {"zone": zone, "region": "test"}}));
        let mut changes: Vec<_> = zones.collect();
        changes.extend(spec.changes.as_array().expect("a list of changes").iter().cloned());
        let planned = self.publish_intent(0, &serde_json::json!({"why": "test", "changes": changes}), None).await;
        let granted = planned["granted"].as_array().expect("a list of keys");
        let secrets = granted.iter().map(|key| key["secret"].as_str().expect("a secret").to_owned()).collect();
        self.wait_for_configuration().await;
        secrets
    }

    /// Waits until every node admits a tenant's requests. A new owner of quota tokens lends none until all
    /// loans that a previous owner may have granted have expired.
    pub async fn wait_until_admitted(&self, path: &str, api_key: &str) {
        for vm in 0..self.vms.len() {
            let request = Request::get(self.caller_url(vm, path)).bearer_auth(api_key);
            let admitted = async || (self.client.try_send(&request).await.ok()?.status == 200).then_some(());
            wait_until("the tenant is admitted", admitted).await;
        }
    }

    /// Returns the status of a node, or `None` if the request fails.
    async fn status(&self, vm: usize) -> Option<serde_json::Value> {
        let response = self.client.try_send(&Request::get(self.admin_url(vm, "/v1/status"))).await.ok()?;
        (response.status == 200).then(|| response.json())
    }

    /// Waits until every node reports `count` reachable members and as many targets.
    async fn wait_for_members(&self, count: usize) {
        for vm in 0..self.vms.len() {
            let discovered = async || {
                let status = self.status(vm).await?;
                let zones = status["members"].as_array()?;
                let members = zones.iter().filter_map(|zone| zone["reachable"].as_u64()).sum::<u64>();
                (members == count as u64 && status["targets"] == count as u64).then_some(())
            };
            wait_until("all members and targets are discovered", discovered).await;
        }
    }

    /// Waits until every node has applied a configuration.
    async fn wait_for_configuration(&self) {
        for vm in 0..self.vms.len() {
            let configured = async || (self.status(vm).await?["version"].as_u64()? > 0).then_some(());
            wait_until("the configuration is applied", configured).await;
        }
    }

    /// Returns a stand-in target's counters of the requests it received.
    pub async fn target_records(&self, vm: usize) -> serde_json::Value {
        self.client.send(&Request::get(self.target_url(vm, "/standin/records"))).await.json()
    }

    /// Changes a stand-in target's behaviour, for example to inject faults.
    pub async fn set_behaviour(&self, vm: usize, behaviour: &serde_json::Value) {
        let url = self.target_url(vm, "/standin/behaviour");
        let response = self.client.send(&Request::post(url, behaviour.to_string())).await;
        assert!(response.status < 300, "behaviour: {}", response.body);
    }
}

/// Polls `condition` until it returns a value. Panics with `description` after [`CONDITION_TIMEOUT_S`].
pub async fn wait_until<T>(description: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let poll = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(CONDITION_TIMEOUT_S), poll).await;
    result.unwrap_or_else(|_| panic!("timed out waiting until {description}"))
}
