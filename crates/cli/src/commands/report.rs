//! Reports collected from all nodes of the fleet.

use std::path::Path;

use crate::CliError;
use crate::args::ReportCommand;
use crate::client::AdminClient;
use crate::print_line::print_line;

/// Prints a report, or writes it to a file as an HTML page.
///
/// # Errors
///
/// Returns an error if the node can't be reached or refuses the request, or if the file can't be written.
pub async fn print_report(client: &AdminClient, command: &ReportCommand, json: bool) -> Result<(), CliError> {
    let ReportCommand::Burn(burn) = command;
    if let Some(file) = &burn.html {
        let page = client.get_text("/v1/report/burn?format=html").await?;
        return write_html_report(file, &page);
    }
    let path = if json { "/v1/report/burn?format=json" } else { "/v1/report/burn?format=text" };
    print_line!("{}", client.get_text(path).await?.trim_end());
    Ok(())
}

fn write_html_report(file: &Path, page: &str) -> Result<(), CliError> {
    let name = file.display().to_string();
    std::fs::write(file, page).map_err(|cause| CliError::File(name.clone(), cause))?;
    print_line!("wrote {name}");
    Ok(())
}
