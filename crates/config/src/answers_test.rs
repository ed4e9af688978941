use super::*;
use crate::{Installation, load};
use stairshed_health::answers::{AnswerProfile, Meaning};

fn with_answers(answers: &str) -> Installation {
    load("file", &format!("[pools.p]\n{answers}")).expect(answers)
}

#[test]
fn pool_without_the_keys_has_the_default_profile() {
    assert_eq!(*with_answers("").pools[0].answers, AnswerProfile::default());
}

#[test]
fn lists_of_a_pool_make_its_profile() {
    let installation = with_answers(
        "answers.delivered = [\"2xx\", 409]\nanswers.rejected = [\"4xx\"]\nanswers.may_have_run = [\"3xx\"]\n\
         answers.refused = []\nanswers.wait_scope = \"endpoint\"\n",
    );
    let profile = &installation.pools[0].answers;
    for (status, meaning) in [
        (201, Meaning::Delivered),
        (409, Meaning::Delivered),
        (404, Meaning::Rejected),
        (302, Meaning::MayHaveRun),
        (503, Meaning::MayHaveRun),
    ] {
        assert_eq!(profile.meaning(status), meaning, "{status}");
    }
    assert_eq!(profile.wait_scope(), answers::WaitScope::Endpoint);
}

#[test]
fn lists_are_written_as_they_are_read() {
    let installation = with_answers("answers.delivered = [\"2xx\", 409]\n");
    let pool = serde_json::to_value(&installation.file.pools["p"]).expect("JSON");
    assert_eq!(pool["answers"]["delivered"], serde_json::json!(["2xx", 409]));
}

#[test]
fn schema_has_the_keys() {
    let schema = crate::report::schema();
    for key in ["delivered", "rejected", "may_have_run", "refused", "wait_scope"] {
        assert!(schema["$defs"]["Answers"]["properties"][key]["description"].is_string(), "{key}");
    }
    assert!(schema["$defs"]["Pool"]["properties"]["answers"].is_object());
}
