//! A fleet of processes: the stand-in log, nodes, and stand-in targets.

use std::time::Duration;

use tempfile::TempDir;

use super::{Client, Process, Request};

const LOG: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-log");
const NODE: &str = env!("CARGO_BIN_EXE_fulmartrestled");
const TARGET: &str = env!("CARGO_BIN_EXE_fulmartrestle-standin-target");

/// Longest wait for a condition. It only ends a test that hangs.
const WAIT_S: u64 = 30;

/// One target to start, with its node.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    pub service: &'static str,
    pub zone: &'static str,
    /// Path of the service that each request calls, if any.
    pub child: Option<&'static str>,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub zones: Vec<&'static str>,
    pub targets: Vec<TargetPlan>,
    /// Intent that configures tenants and routes; zones are added to it.
    pub changes: serde_json::Value,
}

/// One VM: a node and its target.
pub struct Vm {
    pub node: Process,
    pub target: Process,
    pub plan: TargetPlan,
}

/// The running fleet.
pub struct Fleet {
    pub client: Client,
    pub log: Process,
    pub vms: Vec<Vm>,
    settings: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until every node knows every target.
    pub async fn start(plan: &FleetPlan) -> Self {
        let log = Process::start(LOG, &["--listen", "127.0.0.1:0"]);
        let settings = tempfile::tempdir().expect("a folder for settings");
        let mut fleet = Self { client: Client::new(), log, vms: Vec::new(), settings };
        for target in &plan.targets {
            fleet.start_vm(target);
        }
        fleet.wait_for_members(plan.targets.len()).await;
        fleet
    }

    /// Starts one more VM.
    pub fn start_vm(&mut self, plan: &TargetPlan) {
        let index = self.vms.len();
        let file = self.settings.path().join(format!("node-{index}.jsonc"));
        let text = format!(
            r#"{{
                // A node of the end-to-end tests.
                "availability_zone": "{}", "region": "test",
                "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
                "log_url": "http://{}", "log_level": "warn", "explain": true
            }}"#,
            plan.zone,
            self.log.address("")
        );
        std::fs::write(&file, text).expect("settings can be written");
        let node = Process::start(NODE, &["--settings", &file.display().to_string()]);
        let children = match plan.child {
            Some(path) => serde_json::json!([{"path": path, "count": 1}]),
            None => serde_json::json!([]),
        };
        let target_settings = serde_json::json!({
            "service": plan.service,
            "node_caller": node.address("callers"),
            "node_admin": node.address("admin"),
            "children": children,
            "key_markers": ["fk_"],
        });
        let target = Process::start(TARGET, &["--listen", "127.0.0.1:0", "--settings", &target_settings.to_string()]);
        self.vms.push(Vm { node, target, plan: plan.clone() });
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

    /// Makes a plan of an intent at one node, confirms it, and returns the plan's answer.
    pub async fn publish(&self, vm: usize, intent: &serde_json::Value, operator: Option<&str>) -> serde_json::Value {
        let mut request = Request::post(self.admin_url(vm, "/v1/plans"), intent.to_string());
        if let Some(operator) = operator {
            request = request.key(operator);
        }
        let planned = self.client.send(&request).await;
        assert_eq!(planned.status, 200, "plan: {}", planned.body);
        let planned = planned.json();
        let id = planned["plan"]["id"].as_str().expect("a plan has an id").to_owned();
        let mut request = Request::post(self.admin_url(vm, &format!("/v1/plans/{id}/confirm")), "");
        if let Some(operator) = operator {
            request = request.key(operator);
        }
        let confirmed = self.client.send(&request).await;
        assert_eq!(confirmed.status, 200, "confirm: {}", confirmed.body);
        assert!(confirmed.body.contains("committed"), "confirm: {}", confirmed.body);
        planned
    }

    /// Publishes zones and changes, and returns the secret of each key that was granted, in order.
    pub async fn configure(&self, plan: &FleetPlan) -> Vec<String> {
        let zones = plan.zones.iter().map(|zone| serde_json::json!({"set_zone": {"zone": zone, "region": "test"}}));
        let mut changes: Vec<_> = zones.collect();
        changes.extend(plan.changes.as_array().expect("a list of changes").iter().cloned());
        let planned = self.publish(0, &serde_json::json!({"why": "test", "changes": changes}), None).await;
        let granted = planned["granted"].as_array().expect("a list of keys");
        let secrets = granted.iter().map(|key| key["secret"].as_str().expect("a secret").to_owned()).collect();
        self.wait_for_version().await;
        secrets
    }

    /// Waits until every node admits a tenant. The owners of a zone's tokens lend nothing until loans
    /// that an earlier owner may have made have lapsed.
    pub async fn wait_until_admitted(&self, path: &str, key: &str) {
        for vm in 0..self.vms.len() {
            let request = Request::get(self.caller_url(vm, path)).key(key);
            let admitted = async || (self.client.try_send(&request).await.ok()?.status == 200).then_some(());
            wait_until("the tenant is admitted", admitted).await;
        }
    }

    async fn status(&self, vm: usize) -> Option<serde_json::Value> {
        let answer = self.client.try_send(&Request::get(self.admin_url(vm, "/v1/status"))).await.ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    async fn wait_for_members(&self, count: usize) {
        for vm in 0..self.vms.len() {
            let known = async || {
                let status = self.status(vm).await?;
                let zones = status["members"].as_array()?;
                let members = zones.iter().filter_map(|zone| zone["reachable"].as_u64()).sum::<u64>();
                (members == count as u64 && status["targets"] == count as u64).then_some(())
            };
            wait_until("all members and targets are known", known).await;
        }
    }

    async fn wait_for_version(&self) {
        for vm in 0..self.vms.len() {
            let known = async || (self.status(vm).await?["version"].as_u64()? > 0).then_some(());
            wait_until("the configuration is in force", known).await;
        }
    }

    /// Returns what a stand-in target saw.
    pub async fn records(&self, vm: usize) -> serde_json::Value {
        self.client.send(&Request::get(self.target_url(vm, "/standin/records"))).await.json()
    }

    /// Changes a stand-in target's behaviour.
    pub async fn behave(&self, vm: usize, behaviour: &serde_json::Value) {
        let url = self.target_url(vm, "/standin/behaviour");
        let answer = self.client.send(&Request::post(url, behaviour.to_string())).await;
        assert!(answer.status < 300, "behaviour: {}", answer.body);
    }
}

/// Waits until `condition` returns something.
pub async fn wait_until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let waiting = async {
        loop {
            if let Some(found) = condition().await {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(WAIT_S), waiting).await;
    waited.unwrap_or_else(|_| panic!("gave up waiting: {what}"))
}
