use super::RunningMean;

#[test]
fn the_first_samples_have_equal_weights() {
    let mut mean = RunningMean::default();
    assert_eq!(mean.get(), None);
    for sample in [1.0, 2.0, 6.0] {
        mean.add(sample, 0.1);
    }
    assert_eq!(mean.get(), Some(3.0));
}
