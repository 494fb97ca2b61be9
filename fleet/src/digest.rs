//! Non-cryptographic digests. Every node and every build must compute the same values.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// The kind of data that a digest covers. Each kind is hashed under a separate key, so that equal bytes of
/// two kinds have different digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestKind {
    NodeName = 1,
    MembershipConfig = 2,
    Key = 3,
}

/// Returns the digest of these bytes under the key of the kind.
pub(crate) fn digest(kind: DigestKind, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(kind as u64, 0);
    hasher.write(bytes);
    hasher.finish()
}

/// Mixes a number so that each input bit affects all output bits (the finalizer of splitmix64, Steele et al.
/// 2014).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
