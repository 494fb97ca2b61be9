use super::*;

#[test]
fn a_chart_has_its_title_legend_curves_and_bands() {
    let seconds: Vec<Second> = (0..20)
        .map(|i| Second {
            requests: 10,
            in_time: i,
            requested_weight: 10.0,
            served_weight: i as f64,
            ..Second::default()
        })
        .collect();
    let bands = [Band { text: "kill".into(), from: 5.0, until: 7.0 }];
    let curves = [
        Curve { name: "asked", colour: GREY, value: |second| second.requests as f64 },
        Curve { name: "in time", colour: BLUE, value: |second| second.in_time as f64 },
    ];
    let svg = draw_seconds("Requests", &seconds, &bands, &curves).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("Requests") && svg.contains("in time"));
    assert!(svg.contains("#EBE0C8"), "the fault's band is drawn in the band colour");
    assert!(svg.matches("<polyline").count() >= 2, "both curves are drawn");
}

#[test]
fn a_table_is_drawn_and_a_malformed_one_is_an_error() {
    let svg = draw_table("Pages", "nodes,pages in 100 ms,in all\n12,8,56\n300,143,900\n").unwrap();
    assert!(svg.contains("pages in 100 ms") && svg.contains("nodes"));
    assert!(draw_table("x", "nodes\n1\n").is_err() && draw_table("x", "").is_err());
    assert!(draw_table("x", "a,b\n1,x\n").unwrap_err().to_string().contains("\"x\""));
    assert!(draw_table("x", "a,b\n1\n").unwrap_err().to_string().contains("1 cells"));
}
