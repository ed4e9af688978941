use super::*;

fn users(text: &str) -> Result<Users, Error> {
    let path = std::env::temp_dir().join(format!("stairshed-users-{}-{}", std::process::id(), text.len()));
    std::fs::write(&path, text).expect("written");
    let read = Users::read(&path);
    std::fs::remove_file(&path).expect("removed");
    read
}

#[test]
fn only_the_user_with_the_password_is_verified() {
    let line = password_line("van-7", "secret").expect("a line");
    assert!(!line.contains("secret"));
    let users = users(&format!("# vans\n\n{line}\n")).expect("sound");
    assert!(users.verify("van-7", b"secret"));
    for (user, password) in [("van-7", "Secret"), ("van-7", ""), ("van-8", "secret"), ("", "secret")] {
        assert!(!users.verify(user, password.as_bytes()), "{user} {password}");
    }
}

#[test]
fn an_invalid_line_is_reported_with_its_number() {
    let good = password_line("a", "b").expect("a line");
    for (text, line_number, words) in [
        ("a\n".to_owned(), ":1:", "user:hash"),
        (format!("{good}\na/b:x\n"), ":2:", "letters"),
        (format!("#\n{good}\n{good}\n"), ":3:", "twice"),
        ("a:plain\n".to_owned(), ":1:", "hash"),
    ] {
        let message = users(&text).expect_err(&text).to_string();
        assert!(message.contains(line_number) && message.contains(words), "{message}");
    }
    assert!(password_line("a:b", "c").is_err());
}
