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

/* Two entries start at the same time, each with a file of its own, and both
 * adopt the same initial document. If the head were written without its
 * condition, the later entry would put its own document under the same epoch,
 * and the two entries would differ for good. */
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

/* Two operators change the same document at two entries at once. One change is
 * accepted and in force at both entries; the other is refused with 412 and the
 * name and lines of the first. Without the condition on the head, the later
 * write would overwrite a change that was already accepted. */
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

/* The head is written, but all responses are lost, also those to retries,
 * until the platform's client gives up without knowing the outcome. The
 * operator still gets `accepted`, as the history row of the next epoch carries
 * the id of this write. Without reading that row, the entry would reply
 * not_run for a change that is in force everywhere. */
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

/* The response to the write of the head is lost and the table service goes
 * down at once. It comes back after the platform's client has given up, while
 * the operator still waits. The entry keeps reading the history row, and the
 * operator gets `accepted` instead of `unknown`. */
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

/* An entry is stopped after its write of the head and before the response.
 * Another operator then changes the document again. When the first entry
 * continues, it finds a later head than its own, but its own history row: its
 * operator gets `accepted`, and the entry adopts the later document at once.
 */
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

/* An entry crashes after its write of the head and before its reply. The
 * change is in force at the other entry. When the operator retries there, the
 * reply is 412 with the operator's own change, so that it isn't made twice. */
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

/* The table service is down. A change is refused at once with a time to retry
 * and does not run, the document in force is still served, and the same change
 * with the same ETag is accepted after the outage. */
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

/* Responses of the table service are slow. A change takes longer, but is
 * accepted and comes into force at the other entry. */
TEST_F(Epochs, AChangeOnASlowTableIsAccepted)
{
    auto one = Start("one"), two = Start("two");

    ASSERT_TRUE(one->Reaches(1) && two->Reaches(1));
    Faults("{\"slow_ms\": 500}");
    EXPECT_EQ(200, one->Put(Document(2), one->Etag()).status);
    EXPECT_TRUE(two->Reaches(2));
}

/* An entry restarts while the table service is down, and still has the file of
 * the initial document. It serves nothing and reports the reason, and adopts
 * the current document once the table service responds. If it used the file, a
 * change accepted hours ago would be undone at this entry. */
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

/* An entry is paused while two changes are accepted. When it continues, it
 * adopts the last one, and refuses an operator's change of the old document.
 */
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

/* Changes that are refused before anything is written, and a change that
 * changes nothing, which makes no new epoch. */
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

/* The status of each path without a token, with an organisation's token and
 * with an operator's token. */
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

/* Entries find each other by their rows. An entry that drains deletes its row,
 * so that the other one need not wait until it is stale. */
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

/* An entry drains while the table service doesn't respond, so it can't delete
 * its row. It gives up and exits well before the end of its drain time; if it
 * waited for the table service, it would be killed and exit with an error. */
TEST_F(Epochs, AnEntryDrainsDuringAnOutage)
{
    auto one = Start("one");

    ASSERT_TRUE(one->Reaches(1));
    Faults("{\"hang\": true}");
    EXPECT_EQ(0, one->process.Terminate());
}

} /* namespace */
