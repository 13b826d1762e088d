//! Runs one scenario: `demo DEPLOYMENT SCENARIO POLICY SECONDS SEED`.

use std::process::ExitCode;

use fulmartrestle_demo::{DemoArgs, run_demo};

fn parse(args: &[String]) -> Result<DemoArgs, Box<dyn std::error::Error>> {
    let [deployment, scenario, policy, seconds, seed] = args else {
        return Err("usage: demo DEPLOYMENT SCENARIO POLICY SECONDS SEED".into());
    };
    Ok(DemoArgs {
        seconds: seconds.parse()?,
        seed: seed.parse()?,
        deployment: deployment.parse()?,
        scenario: scenario.parse()?,
        policy: policy.parse()?,
    })
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let report = run_demo(parse(&args)?).await?;
    println!("{report}\n{}", report.to_json_line());
    Ok(ExitCode::from(report.exit_code()))
}
