//! The operator's configuration.

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Key of the only tenant.
pub const KEY: &str = "paving-key";

/// Returns a configuration with the kinds of request of the site crwc-permits.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","service":"{service}","priority":1,"anonymous":false,{rest}}}"#
        )
    };
    let plain =
        r#""timeout_ms":2000,"target_latency_ms":300,"session_affinity":false,"resumable":false"#;
    let routes = [
        route(
            "file",
            "non_idempotent",
            "desk",
            &format!(r#"{plain},"max_attempts":1"#),
        ),
        route(
            "look",
            "idempotent",
            "desk",
            &format!(r#"{plain},"max_attempts":2"#),
        ),
        route(
            "notes",
            "streaming",
            "models",
            r#""timeout_ms":12000,"target_latency_ms":800,"session_affinity":true,"resumable":true,"gap_target_ms":1000,"max_attempts":2"#,
        ),
        route(
            "draft",
            "streaming",
            "models",
            r#""timeout_ms":15000,"target_latency_ms":1500,"session_affinity":true,"resumable":false,"gap_target_ms":1000,"max_attempts":1"#,
        ),
    ];
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[
{{"name":"desk","health_path":"/health","max_connections":232,"protocol":"h1","tls":false}},
{{"name":"models","health_path":"/health","max_connections":781,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":474455,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"paving","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}}]}}"#
    )
}

/// Returns the head of a client's request without the empty line at its end.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n{fields}"
    )
}
