//! Commands that show the state of the fleet.

use serde_json::Value;
use serde_json::json;

use super::Output;
use crate::cli;
use crate::client::Client;
use crate::error::Error;
use crate::table;
use crate::table::cell;
use crate::table::millis;

pub(super) async fn status(client: &Client) -> Result<Output, Error> {
    let value = client.get_json("status", &[]).await?;
    let documents: Vec<_> = elements(&value["documents"]).map(cell).collect();
    let serves = match value["fresh"].as_bool() {
        Some(true) => "yes",
        _ => "no: it may have missed a change and refuses all requests",
    };
    let mut text = format!(
        "host         {}\nserves       {serves}\nleaving      {}\nrevision     {}\n\
         connections  {}\nkeys         {}\ndocuments    {}\n\n",
        cell(&value["host"]),
        cell(&value["leaving"]),
        value["revision"],
        value["connections"],
        value["keys"],
        documents.join(" "),
    );
    let row = |host: &Value| {
        ["name", "data_centre", "caller", "leaving"].map(|field| cell(&host[field])).to_vec()
    };
    let rows: Vec<_> = elements(&value["roster"]).map(row).collect();
    text.push_str(&table::render(&["host", "data centre", "address", "leaving"], &rows));
    Ok(Output { value, text })
}

pub(super) async fn histograms(
    client: &Client,
    options: &cli::Histograms,
) -> Result<Output, Error> {
    let mut value = client.get_json("histograms", &[]).await?;
    if let Some(workspace) = &options.workspace {
        let kept = elements(&value["histograms"]);
        let kept: Vec<_> = kept.filter(|one| one["labels"]["workspace"] == **workspace).collect();
        value = json!({ "histograms": kept });
    }
    let row = |one: &Value| {
        let labels = &one["labels"];
        let mut row =
            ["service", "workspace", "class", "status"].map(|l| cell(&labels[l])).to_vec();
        row.extend([cell(&one["count"]), millis(&one["p50_s"]), millis(&one["p99_s"])]);
        row
    };
    let rows: Vec<_> = elements(&value["histograms"]).map(row).collect();
    let titles = ["service", "workspace", "class", "status", "count", "p50 up to", "p99 up to"];
    Ok(Output { text: table::render(&titles, &rows), value })
}

pub(super) async fn explain(client: &Client, options: cli::Explain) -> Result<Output, Error> {
    let query =
        [("service", &options.service), ("workspace", &options.workspace), ("code", &options.code)];
    let value = client.get_json("explain", &query).await?;
    let mut targets = Vec::new();
    for service in elements(&value["services"]) {
        for target in elements(&service["targets"]) {
            targets.push(vec![
                cell(&service["service"]),
                cell(&target["target"]),
                cell(&target["in_flight"]),
                cell(&target["slots"]),
                millis(&target["latency_s"]),
                cell(&target["state"]),
            ]);
        }
    }
    let titles = ["service", "target", "in flight", "slots", "latency", "state"];
    let targets = table::render(&titles, &targets);
    let row = |refusal: &Value| {
        let age = refusal["age_s"].as_f64().unwrap_or_default();
        let mut row = ["service", "workspace", "code", "count"].map(|f| cell(&refusal[f])).to_vec();
        row.extend([format!("{age:.0} s ago"), cell(&refusal["detail"])]);
        row
    };
    let refusals: Vec<_> = elements(&value["refusals"]).map(row).collect();
    let titles = ["service", "workspace", "code", "count", "latest", "detail"];
    let text = format!("{targets}\n\n{}", table::render(&titles, &refusals));
    Ok(Output { value, text })
}

fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
