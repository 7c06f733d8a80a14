#include "epochs-support.h"

#include <signal.h>

#include <thread>

using epochs::Deployment;
using epochs::Document;
using epochs::Entry;
using harness::Number;
using harness::Reply;
using harness::Text;
using harness::WaitFor;

namespace {

class Epochs : public Deployment {};

/* Both entries bring a file of their own at the same moment; one of them is
 * epoch 1 for both. Were the head written without its condition, the later
 * entry would put its own document under the same epoch, and the two entries
 * would differ for good. */
TEST_F(Epochs, TwoFilesMakeOneInitialDocument)
{
    Faults("{\"slow_ms\": 300}");
    auto one = Start("one", Document(1)), two = Start("two", Document(2));

    ASSERT_TRUE(one->Reaches(1));
    ASSERT_TRUE(two->Reaches(1));
    Faults("{}");
    EXPECT_EQ(one->Etag(), two->Etag());
    auto rows = harness::Parse(Rows("config"));
    EXPECT_EQ("head", Text(rows.get(), "rows/0/key"));
    EXPECT_EQ(1, Number(rows.get(), "rows/0/version"));
    EXPECT_FALSE(HasHistory(2));
}

/* Two operators change the same document at two entries at once. One is told
 * 200, the other 412 with the name and the lines of the first; what the first
 * was told is in force at both entries. Without the condition on the head the
 * later write would win, and the first operator's change would be gone after
 * it was accepted. */
TEST_F(Epochs, OneOfTwoConcurrentChangesIsRefused)
{
    auto one = Start("one"), two = Start("two");
    Reply amal, badr;

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    const std::string seen = one->Etag();
    Faults("{\"slow_ms\": 100}");
    std::thread other(
        [&] { badr = two->Put(Document(3), seen, "token-badr"); });
    amal = one->Put(Document(2), seen, "token-amal");
    other.join();
    Faults("{}");

    ASSERT_EQ(612, amal.status + badr.status) << amal.body << badr.body;
    Reply &won = amal.status == 200 ? amal : badr;
    Reply &lost = amal.status == 200 ? badr : amal;
    auto json = lost.json();
    EXPECT_EQ(amal.status == 200 ? "amal" : "badr",
              Text(json.get(), "changes/0/operator"));
    EXPECT_EQ(2, Number(json.get(), "changes/0/epoch"));
    EXPECT_EQ(amal.status == 200 ? "organisations[a].weight: 1 -> 2"
                                 : "organisations[a].weight: 1 -> 3",
              Text(json.get(), "changes/0/lines/0"));
    EXPECT_TRUE(one->Reaches(2) && two->Reaches(2));
    EXPECT_EQ(won.headers["etag"], one->Etag());
    EXPECT_EQ(won.headers["etag"], two->Etag());
    EXPECT_FALSE(HasHistory(3));
}

/* The head is written and every answer to it is lost, also to what is sent
 * again, so the platform's client gives up without knowing. The operator is
 * told `accepted`, because the history row of the next epoch carries the id
 * of this write. Without the read-back the operator is told that nothing ran,
 * while the change is in force everywhere. */
TEST_F(Epochs, AWriteWithLostResponsesIsRecognised)
{
    auto one = Start("one"), two = Start("two");

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    Faults("{\"lose_answers\": 1000}");
    Reply r = one->Put(Document(2), one->Etag());
    EXPECT_EQ(200, r.status) << r.body;
    EXPECT_EQ("accepted", Text(r.json().get(), "outcome"));
    EXPECT_TRUE(two->Reaches(2));
    EXPECT_FALSE(HasHistory(3));
}

/* The head's answer is lost and the table service goes down at once; it comes
 * back after the platform's client has given up, while the operator still
 * waits. The entry goes on asking for the history row, and the operator is
 * told `accepted`, not `unknown`. */
TEST_F(Epochs, AnOutageAfterALostResponseIsWaitedFor)
{
    auto one = Start("one");
    Reply r;

    ASSERT_TRUE(one->Reaches(1));
    const std::string seen = one->Etag();
    Faults("{\"lose_answers\": 1000}");
    std::thread caller([&] { r = one->Put(Document(2), seen); });
    bool written = WaitFor([&] { return HasHistory(2); });
    Faults("{\"down\": true}");
    bool waited = WaitFor([&] {
        return one->process.Err().find("config_undecided") !=
               std::string::npos;
    });
    Faults("{}");
    caller.join();
    EXPECT_TRUE(written && waited);
    EXPECT_EQ(200, r.status) << r.body;
}

/* An entry is stopped between the write of the head and its answer. Another
 * operator changes the document on top of it. Woken up, the first entry finds
 * a later head than its own, but its own history row: its operator is told
 * `accepted`, and the entry goes on to the later document at once. */
TEST_F(Epochs, AWriteFollowedByAnotherIsRecognised)
{
    auto one = Start("one"), two = Start("two");
    Reply r;

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    const std::string seen = one->Etag();
    Faults("{\"lose_answers\": 1000}");
    std::thread caller([&] { r = one->Put(Document(2), seen); });
    bool written = WaitFor([&] { return HasHistory(2); });
    one->process.Signal(SIGSTOP);
    Faults("{}");
    EXPECT_TRUE(written && two->Reaches(2));
    EXPECT_EQ(200, two->Put(Document(3), two->Etag(), "token-badr").status);
    one->process.Signal(SIGCONT);
    caller.join();
    EXPECT_EQ(200, r.status) << r.body;
    EXPECT_EQ(2, Number(r.json().get(), "epoch"));
    EXPECT_TRUE(one->Reaches(3));
    EXPECT_EQ(two->Etag(), one->Etag());
}

/* An entry dies after the head was written and before its operator has an
 * answer. The change is in force at the other entry; the operator, who tries
 * again there, is told 412 with the own change, so that it isn't made twice.
 */
TEST_F(Epochs, AWriteSurvivesACrashOfItsEntry)
{
    auto one = Start("one"), two = Start("two");
    Reply r;

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    const std::string seen = one->Etag();
    Faults("{\"lose_answers\": 1000}");
    std::thread caller([&] { r = one->Put(Document(2), seen); });
    bool written = WaitFor([&] { return HasHistory(2); });
    one->process.Signal(SIGKILL);
    caller.join();
    Faults("{}");
    EXPECT_TRUE(written && two->Reaches(2));
    EXPECT_EQ(0, r.status);
    Reply retried = two->Put(Document(2), seen);
    EXPECT_EQ(412, retried.status);
    EXPECT_EQ("amal", Text(retried.json().get(), "changes/0/operator"));
    EXPECT_EQ(2, two->Epoch());
}

/* The table service is down. A change is refused at once with a time to come
 * back, and did not run; the document in force goes on being served; the same
 * change under the same ETag is accepted afterwards. */
TEST_F(Epochs, AChangeDuringAnOutageIsNotRun)
{
    auto one = Start("one");

    ASSERT_TRUE(one->Reaches(1));
    const std::string seen = one->Etag();
    Faults("{\"down\": true}");
    Reply r = one->Put(Document(2), seen);
    EXPECT_EQ(503, r.status);
    EXPECT_EQ("not_run", Text(r.json().get(), "outcome"));
    EXPECT_NE("", r.headers["retry-after"]);
    EXPECT_EQ(seen, one->Etag());
    EXPECT_EQ(200, one->Get("/readyz", "").status);
    Faults("{}");
    EXPECT_FALSE(HasHistory(2));
    EXPECT_EQ(200, one->Put(Document(2), seen).status);
    EXPECT_EQ(2, one->Epoch());
}

/* Answers of the table service come late, but come. A change takes longer,
 * and is accepted and in force at the other entry. */
TEST_F(Epochs, AChangeOnASlowTableIsAccepted)
{
    auto one = Start("one"), two = Start("two");

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    Faults("{\"slow_ms\": 500}");
    EXPECT_EQ(200, one->Put(Document(2), one->Etag()).status);
    EXPECT_TRUE(two->Reaches(2));
}

/* An entry restarts while the table service is down, with the file of the
 * first document still on its machine. It serves nothing and says why, and
 * takes the present document once the table answers. If it took the file, a
 * change that was accepted hours ago would be undone at this entry. */
TEST_F(Epochs, ARestartDuringAnOutageIgnoresTheFile)
{
    auto one = Start("one");

    ASSERT_TRUE(one->Reaches(1));
    ASSERT_EQ(200, one->Put(Document(2), one->Etag()).status);
    const std::string accepted = one->Etag();
    one->process.Signal(SIGKILL);
    Faults("{\"down\": true}");
    auto restarted = Start("one");
    ASSERT_TRUE(WaitFor([&] {
        return restarted->process.Err().find("config_unreadable") !=
               std::string::npos;
    }));
    Reply r = restarted->Get("/readyz", "");
    EXPECT_EQ(503, r.status);
    EXPECT_EQ("no_configuration", Text(r.json().get(), "reason"));
    EXPECT_EQ(503, restarted->Get("/v1/config").status);
    Faults("{}");
    EXPECT_TRUE(restarted->Reaches(2));
    EXPECT_EQ(accepted, restarted->Etag());
    EXPECT_EQ(200, restarted->Get("/readyz", "").status);
}

/* An entry is paused while two changes are accepted, and then woken. It goes
 * to the last one, and refuses its operator's change of the old one. */
TEST_F(Epochs, APausedEntryCatchesUp)
{
    auto one = Start("one"), two = Start("two");

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    const std::string seen = one->Etag();
    one->process.Signal(SIGSTOP);
    EXPECT_EQ(200, two->Put(Document(2), seen).status);
    EXPECT_EQ(200, two->Put(Document(3), two->Etag()).status);
    one->process.Signal(SIGCONT);
    Reply r = one->Put(Document(4), seen);
    EXPECT_EQ(412, r.status);
    EXPECT_EQ(3, Number(r.json().get(), "changes/1/epoch"));
    EXPECT_TRUE(one->Reaches(3));
    EXPECT_EQ(two->Etag(), one->Etag());
}

/* What a change is refused for before anything is written. */
TEST_F(Epochs, InvalidChangesAreRefused)
{
    auto one = Start("one");

    ASSERT_TRUE(one->Reaches(1));
    const std::string seen = one->Etag();
    const std::string beyond = Document(
        2,
        "   guarantees: [{shape: \"workers: 2\", count: 1},\n"
        "    {shape: \"accelerators: 4\", count: 1, failure_domain: d1}]\n");
    const struct {
        std::string text, etag, token;
        int status;
        std::string expected;
    } cases[] = {
        {Document(2), seen, "", 401, "no_token"},
        {Document(2), seen, "token-a", 403, "not_an_operator"},
        {Document(2), "", "token-amal", 428, "If-Match"},
        {Document(2), "\"x\"", "token-amal", 400, "If-Match"},
        {Document(2), "\"7-" + std::string(64, '0') + "\"", "token-amal", 412,
         "changed_since"},
        {"version: 1", seen, "token-amal", 422, "weights"},
        {Document(0), seen, "token-amal", 422, "organisations[0].weight"},
        {beyond, seen, "token-amal", 422,
         "1 of 1 'workers: 2' find no place in any"},
    };

    for (const auto &c : cases) {
        Reply r = one->Put(c.text, c.etag, c.token);

        EXPECT_EQ(c.status, r.status) << c.expected << r.body;
        EXPECT_NE(std::string::npos, r.body.find(c.expected)) << r.body;
    }
    EXPECT_EQ(1, one->Epoch());
    Reply same = one->Put(Document(1), seen);
    EXPECT_EQ(200, same.status) << same.body;
    EXPECT_EQ(1, one->Epoch()) << "no change is no epoch";
}

/* Which paths ask for an operator's token. */
TEST_F(Epochs, PathsThatNeedAnOperatorToken)
{
    auto one = Start(
        "one", Document(1, "   guarantees: [{shape: \"workers: 2\", count: 1},"
                           " {shape: \"accelerators: 4\", count: 2}]\n"));

    ASSERT_TRUE(one->Reaches(1));
    const struct {
        const char *path;
        int none, organisation, operators;
    } cases[] = {
        {"/healthz", 200, 200, 200},        {"/readyz", 200, 200, 200},
        {"/metrics", 200, 200, 200},        {"/console", 200, 200, 200},
        {"/v1/state", 401, 403, 200},       {"/v1/overview", 401, 403, 200},
        {"/v1/config/head", 401, 403, 200}, {"/v1/config", 401, 403, 200},
    };

    for (const auto &c : cases) {
        EXPECT_EQ(c.none, one->Get(c.path, "").status) << c.path;
        EXPECT_EQ(c.organisation, one->Get(c.path, "token-a").status)
            << c.path;
        EXPECT_EQ(c.operators, one->Get(c.path).status) << c.path;
    }
    Reply page = one->Get("/console", "");
    EXPECT_NE(std::string::npos,
              page.headers["content-security-policy"].find("default-src"));
    auto view = one->Get("/v1/overview").json();
    EXPECT_EQ("a", Text(view.get(), "organisations/0/name"));
    EXPECT_EQ(24, Number(view.get(), "organisations/0/guaranteed"));
    EXPECT_EQ(1, Number(view.get(), "epoch"));
}

/* Entries find each other by their rows; one that drains takes its row away,
 * so that the other need not wait for it to grow old. */
TEST_F(Epochs, EntriesListEachOther)
{
    auto one = Start("one"), two = Start("two");
    auto peer_name = [](const Entry &e) {
        return Text(e.Get("/v1/state").json().get(), "peers/entries/1/name");
    };

    EXPECT_TRUE(WaitFor([&] { return peer_name(*one) == "two"; }, 30000));
    EXPECT_TRUE(WaitFor([&] { return peer_name(*two) == "two"; }, 30000));
    EXPECT_EQ(0, two->process.Terminate());
    EXPECT_EQ(std::string::npos, Rows("entries").find("\"two\""));
    EXPECT_TRUE(WaitFor([&] { return peer_name(*one) == ""; }, 30000));
}

/* An entry is told to drain while the table service doesn't answer. It can't
 * take its row away, gives that up, and ends well before its drain time is
 * over; waiting for the table, it would be cut off and end with an error. */
TEST_F(Epochs, AnEntryDrainsDuringAnOutage)
{
    auto one = Start("one");

    ASSERT_TRUE(one->Reaches(1));
    Faults("{\"hang\": true}");
    EXPECT_EQ(0, one->process.Terminate());
}

} /* namespace */
