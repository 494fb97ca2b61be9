use super::*;

/// Nodes of other releases compare the digest with their own, so it must not change.
#[test]
fn the_digest_of_a_body_is_the_first_half_of_its_sha256() {
    assert_eq!(body_digest(b"body"), 0x230d_8358_dc8e_8890_b4c5_8dee_b629_12ee);
}
