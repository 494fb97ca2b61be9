use super::*;

#[test]
fn ids_are_the_published_splitmix64_sequence_of_their_seed() {
    let ids = RequestIds::new(1_234_567);
    let first: Vec<TransactionId> = (0..3).map(|_| ids.next()).collect();
    assert_eq!(first, ["599ed017fb08fc85", "2c73f08458540fa5", "883ebce5a3f27c77"].map(TransactionId::from));
}
