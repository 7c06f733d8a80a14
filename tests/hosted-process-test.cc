/* The whole path on the stand-in of the hosted platform, as processes. */
#include "hosted-stack.h"

#include "wire.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace harness;

namespace {

TEST(Hosted, AJobIsAcceptedRunAndShownByAnyEntry)
{
    HostedStack s(2, 2);

    EXPECT_EQ(s.Submit(0, "a1", "100", 3).status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 3u);
}

struct Refusal {
    const char *what;
    const char *method;
    const char *path;
    const char *host;
    const char *key;
    const char *body;
    int status;
};

TEST(Hosted, CallsThatCantBeServedAreRefusedAtOnce)
{
    static const Refusal cases[] = {
        {"no such host", "GET", "/q/a1", "two.example", "key-one", "", 404},
        {"no such path", "GET", "/r/a1", "one.example", "key-one", "", 404},
        {"no key", "GET", "/q/a1", "one.example", "", "", 401},
        {"unknown key", "GET", "/q/a1", "one.example", "key-two", "", 401},
        {"no such job", "GET", "/q/a1", "one.example", "key-one", "", 410},
        {"cancel of none", "DELETE", "/q/a1", "one.example", "key-one", "",
         410},
        {"id no number", "GET", "/q/zz", "one.example", "key-one", "", 400},
        {"body cut", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{", 400},
        {"body no object", "POST", "/q/a1", "one.example", "key-one", "[]",
         400},
        {"no steps", "POST", "/q/a1", "one.example", "key-one", "{}", 400},
        {"count a text", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":\"many\"}]}", 400},
        {"negative", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":1,\"gpu\":-1}]}", 400},
        {"after a later one", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":1,\"after\":[1]},{\"count\":1}]}", 400},
        {"method", "PUT", "/q/a1", "one.example", "key-one", "", 405},
    };
    HostedStack s(1, 1);

    for (const Refusal &c : cases) {
        std::vector<std::string> headers = {std::string("Host: ") + c.host};

        if (*c.key != '\0') {
            headers.push_back(std::string("Authorization: Bearer ") + c.key);
        }
        EXPECT_EQ(Http(c.method, s.Entry(0) + c.path, c.body, headers).status,
                  c.status)
            << c.what;
    }
    EXPECT_TRUE(s.Starts().empty());
}

/* Work that fills a worker disturbs a task that serves users of its own there:
 * its share is taken down until the target is met. Then the entry that decided
 * so is killed; the next one finds the share and keeps the target too. */
TEST(Hosted, FillingWorkYieldsToAServingTaskOverATakeover)
{
    HostedStack s(2, 1);
    auto share_percent = [&] {
        return json_integer_value(json_object_get(
            Http("GET", s.workers[0]->Url("/shares")).json().get(),
            "b2.0.0.0"));
    };
    auto shares = [&] {
        return json_object_size(
            Http("GET", s.workers[0]->Url("/shares")).json().get());
    };

    EXPECT_EQ(s.SubmitStep(0, "b1", "serves",
                           R"("long-running":true,"target-ms":100)")
                  .status,
              200);
    EXPECT_EQ(s.SubmitStep(1, "b2", "fills", R"("fills":true)").status, 200);
    EXPECT_TRUE(WaitFor([&] { return shares() == 2 && share_percent() < 50; }))
        << s.Logs();
    std::string log = "entry-" + std::to_string(s.KillOwner()) + ".err";
    EXPECT_TRUE(WaitFor([&] {
        return ReadFile(s.dir.Path(log)).find("target_missed") !=
               std::string::npos;
    })) << s.Logs();
    EXPECT_TRUE(WaitFor([&] { return share_percent() < 50; })) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* A queue's steps may run only where the adviser says so, and start with its
 * ticket. The adviser is full at first: questions wait for longer each time,
 * and the job runs when it answers, on a worker that it approved; one that it
 * did not approve is asked about once. */
TEST(Hosted, StepsThatNeedAdviceRunWhereTheAdviserApproves)
{
    HostedStack s(1, 3);
    auto asked = [&](const char *what) {
        return json_integer_value(json_object_get(
            Http("GET", s.adviser->Url("/asked")).json().get(), what));
    };

    Http("PUT", s.adviser->Url("/full"));
    EXPECT_EQ(
        s.SubmitStep(0, "c1", "advised:300", R"("gpu":8)", "/advised/").status,
        200);
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("event=advice_failed") != std::string::npos;
    })) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 0u);
    Http("PUT", s.adviser->Url("/free"));
    EXPECT_TRUE(WaitFor([&] { return s.Starts().size() == 1; })) << s.Logs();
    EXPECT_EQ(Http("GET", s.workers[1]->Url("/starts")).body, "[]");
    EXPECT_LE(asked("c1.0.0 i-1"), 1);
}

/* The same id is handed in again, at another entry, also seconds later. It
 * stays one job: its caller asks again when an answer was lost. */
TEST(Hosted, AnIdHandedInTwiceIsOneJob)
{
    HostedStack s(2, 1);

    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_EQ(s.Submit(1, "a1", "50").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(1, "a1", "50").status, 200);
    EXPECT_EQ(s.Starts().size(), 1u);
}

TEST(Hosted, WaitingJobsAreCountedAndCancelled)
{
    HostedStack s(1, 1);

    EXPECT_EQ(s.Submit(0, "a1", "60000", 8).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "running")) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a2", "100").status, 200);
    EXPECT_EQ(Number(s.Query(0, "").json().get(), "waiting"), 1);
    EXPECT_EQ(s.Cancel(0, "a1").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "cancelled"));
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
    EXPECT_EQ(Number(s.Query(0, "").json().get(), "waiting"), 0);
}

TEST(Hosted, AttemptsAreThoseOfTheQueue)
{
    HostedStack s(1, 1);

    EXPECT_EQ(s.Submit(0, "a1", "fail").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "failed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* The entry that gives the orders is killed while a job runs. The other one
 * takes over by the store's row, leaves the run alone, and notes its end. */
TEST(Hosted, AnotherEntryTakesOverAndNothingRunsTwice)
{
    HostedStack s(2, 1);

    ASSERT_EQ(s.Submit(0, "a1", "1500").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "running"));
    int survivor = s.KillOwner();
    EXPECT_TRUE(s.WaitForState(survivor, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(survivor, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(survivor, "a2", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* Every process of the system is killed at once and started again. The agents
 * know no owner's term then, and their workers answer nobody below the one
 * they have seen; without the owner's word nothing would run any more. */
TEST(Hosted, AllIsFoundAgainAfterEverythingWasKilled)
{
    HostedStack s(2, 2);

    ASSERT_EQ(s.Submit(0, "a1", "2500", 2).status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "running"));
    for (int i = 0; i < 2; i++) {
        s.entries[static_cast<size_t>(i)]->Signal(SIGKILL);
        s.agents[static_cast<size_t>(i)]->Signal(SIGKILL);
    }
    for (int i = 0; i < 2; i++) {
        s.StartEntry(i);
        s.StartAgent(i);
    }
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a2", "completed")) << s.Logs();
}

/* The store turns one entry's machine away and serves the other. Its callers
 * are served all the same, through the other entry; without that they are
 * refused for as long as it lasts. */
TEST(Hosted, AnEntryThatTheStoreTurnsAwayServesThroughAnother)
{
    HostedStack s(2, 1);

    s.StoreFault(1, "busy");
    EXPECT_TRUE(WaitFor([&] { return s.Submit(1, "a1", "50").status == 200; }))
        << s.Logs();
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    s.PutConfig(2, {"key-new"});
    EXPECT_TRUE(WaitFor([&] {
        return s.Query(1, "a1").status == 401 &&
               s.Query(1, "a1", "key-new").status == 200;
    })) << s.Logs();
}

/* The store is away for everybody. A caller is refused with a time to come
 * back, which is true: nothing is stored. Later the same id is accepted. */
TEST(Hosted, WhileTheStoreIsAwayCallersAreToldWhenToComeBack)
{
    HostedStack s(2, 1);
    Reply r;

    s.StoreFault(0, "busy");
    s.StoreFault(1, "busy");
    EXPECT_TRUE(WaitFor([&] {
        r = s.Submit(0, "a1", "50");
        return r.status == 503;
    }));
    EXPECT_EQ(r.headers["retry-after"], "1");
    s.StoreFault(0, "");
    s.StoreFault(1, "");
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(0, "a1", "50").status == 200; }));
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

/* Writes take effect and their answers are lost. The owner can't know which
 * of its rows are stored; it rewrites its own row first, so that none of them
 * can come to pass later, and goes on. Nothing runs twice. */
TEST(Hosted, LostAnswersOfTheStoreLoseNothing)
{
    HostedStack s(1, 1);

    ASSERT_EQ(s.Submit(0, "a1", "400", 2).status, 200);
    s.StoreFault(0, "lose");
    ASSERT_TRUE(WaitFor([&] {
        return s.Logs().find("write_failed error=unknown") !=
               std::string::npos;
    }));
    s.StoreFault(0, "");
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* The store forgets its history while entries follow it. They list the tables
 * anew, and miss neither the configuration nor a job. */
TEST(Hosted, ADroppedHistoryIsReadAgain)
{
    HostedStack s(2, 1);

    s.DropHistory();
    s.PutConfig(2, {"key-one", "key-new"});
    EXPECT_TRUE(
        WaitFor([&] { return s.Query(0, "a1", "key-new").status == 410; }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
}

/* A worker crashes and comes again at its address with another lifetime. What
 * ran there starts again, once. */
TEST(Hosted, AnotherLifetimeOfAWorkerRunsTheWorkAgain)
{
    HostedStack s(1, 1);

    ASSERT_EQ(s.Submit(0, "a1", "700").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "running"));
    s.StartWorker(0, "i-again");
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts(), std::vector<std::string>{"a1.0.0.0/2"});
}

/* SIGHUP says that the settings file has changed. Processes that don't know
 * the signal end by it, and cut all that they have in hand. A process that is
 * not in main() yet can't know it, so both are up first. */
TEST(Hosted, SighupEndsNothing)
{
    HostedStack s(1, 1);

    ASSERT_TRUE(WaitFor([&] {
        return s.Logs().find("proc=agent-0 event=start") != std::string::npos;
    })) << s.Logs();
    s.entries[0]->Signal(SIGHUP);
    s.agents[0]->Signal(SIGHUP);
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_TRUE(s.entries[0]->Running());
    EXPECT_TRUE(s.agents[0]->Running());
}

/* SIGTERM: not ready at once, so that the balancer sends its callers to other
 * entries; those that still come meanwhile are served. */
TEST(Hosted, ADrainingEntryServesThoseWhoStillCome)
{
    HostedStack s(2, 1);

    s.entries[0]->Signal(SIGTERM);
    EXPECT_TRUE(WaitFor([&] { return !s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.entries[0]->Wait(), 0) << s.Logs();
    EXPECT_EQ(s.agents[0]->Terminate(), 0) << s.Logs();
}

/* A caller hands a job in while the store is silent, and leaves before its
 * answer. The log says at once that it left, how long it had waited and for
 * what, and at the end that nobody heard the answer; without these nobody can
 * tell why a job runs whose caller was never told. */
TEST(Hosted, ACallerThatLeavesBeforeItsAnswerIsNoted)
{
    HostedStack s(1, 1);

    s.StoreFault(0, "silent");
    Http("POST", s.Entry(0) + "/q/a1",
         R"({"task-spec":"50","steps":[{"count":1,"gpu":1}]})",
         {"Host: one.example", "Authorization: Bearer key-one"}, 300);
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("event=caller_left job=a1 path=/q/a1") !=
               std::string::npos;
    })) << s.Logs();
    EXPECT_NE(s.Logs().find("waits_for=spec/a1"), std::string::npos);
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("event=answer_unheard job=a1 outcome=unknown") !=
               std::string::npos;
    })) << s.Logs();
}

/* The store takes calls and answers none. A caller that says that it waits
 * one second is told within that time that nobody knows, and hands the same
 * id in again at another entry, which reaches the store: it runs once. Told
 * after the store's own time-out of 1.5 s, it would have gone. */
TEST(Hosted, ACallerHearsWithinWhatItWaits)
{
    HostedStack s(2, 1);
    const std::string body =
        R"({"task-spec":"50","steps":[{"count":1,"gpu":1}]})";
    const std::vector<std::string> headers = {"Host: one.example",
                                              "Authorization: Bearer key-one",
                                              "Parsleyfall-Deadline-Ms: 1000"};

    s.StoreFault(0, "silent");
    EXPECT_EQ(Http("POST", s.Entry(0) + "/q/a1", body, headers, 1000).status,
              504);
    EXPECT_EQ(Http("POST", s.Entry(1) + "/q/a1", body, headers, 1000).status,
              200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
}

/* What `parsleyfall explain ID` says over the logs of all entries. */
std::string
Explain(HostedStack &s, const std::string &id)
{
    static int asked = 0;
    std::string name = "explain-" + std::to_string(asked++);
    std::vector<std::string> args = {"explain", id};

    for (size_t i = 0; i < s.entries.size(); i++) {
        args.push_back("--log");
        args.push_back(s.dir.Path("entry-" + std::to_string(i) + ".err"));
    }
    Process p(s.dir, "parsleyfall", args, name);
    p.Wait();
    return p.Out();
}

bool
ExplainShows(HostedStack &s, const std::string &id, const std::string &what)
{
    return WaitFor(
        [&] { return Explain(s, id).find(what) != std::string::npos; });
}

/* Three callers complain: one was refused, one's job failed, one was told
 * that nobody knows. From the id alone the logs tell the cause of each. */
TEST(Hosted, TheCauseOfAFailedRequestIsFoundFromItsId)
{
    HostedStack s(1, 1);

    ASSERT_EQ(s.Submit(0, "a1", "fail").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "failed"));
    EXPECT_TRUE(ExplainShows(s, "a1", "event=run_over reason=failed"));
    EXPECT_TRUE(ExplainShows(s, "a1", "event=job_state reason=failed"));
    s.StoreFault(0, "lose");
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200)
        << "the row is found when it is written again";
    s.StoreFault(0, "silent");
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 504);
    EXPECT_TRUE(ExplainShows(s, "a3", "outcome=unknown reason=store_silent"));
    s.StoreFault(0, "busy");
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(0, "a4", "50").status == 503; }));
    EXPECT_TRUE(ExplainShows(s, "a4", "outcome=later reason=store_away"));
    EXPECT_EQ(Explain(s, "a").find("a1"), std::string::npos);
}

/* The product's own interface serves the same jobs in its own words. */
TEST(Hosted, TheOwnInterfaceServesTheSameJobs)
{
    HostedStack s(1, 1);
    const std::vector<std::string> key = {"Authorization: Bearer key-one"};
    std::string url;

    ASSERT_TRUE(WaitFor([&] { return !(url = s.OperatorUrl(0)).empty(); }));
    EXPECT_EQ(Http("POST", url + "/v1/jobs",
                   R"({"id":"b1","queue":"r-1","payload":"50","steps":)"
                   R"([{"count":2,"millicores":500,"accelerators":1}]})",
                   key)
                  .status,
              202);
    EXPECT_TRUE(s.WaitForState(0, "b1", "completed")) << s.Logs();
    Reply r = Http("GET", url + "/v1/jobs/b1", "", key);
    EXPECT_EQ(Text(r.json().get(), "state"), "completed");
    r = Http("GET", url + "/v1/why/b1", "", key);
    EXPECT_NE(r.body.find("run_given"), std::string::npos);
    EXPECT_EQ(Http("GET", url + "/v1/why/b1").status, 401);
    s.PutConfig(2, {"key-one"}, "key-other");
    const std::vector<std::string> other = {"Authorization: Bearer key-other"};
    EXPECT_TRUE(WaitFor([&] {
        return Http("GET", url + "/v1/jobs/b1", "", other).status == 404;
    }));
    r = Http("GET", url + "/v1/why/b1", "", other);
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(r.body.find("run_given"), std::string::npos);
    EXPECT_EQ(Http("POST", url + "/v1/jobs", "{}", key).status, 400);
    EXPECT_NE(Http("GET", url + "/metrics")
                  .body.find("parsleyfall_queue_accepted_total"),
              std::string::npos);
}

/* A report that a partition held up arrives late, and names another lifetime
 * of the worker. It must not end the present one: its task would be started
 * again though it runs. The report is told by its stamp, which is none of this
 * entry's present process. */
TEST(Hosted, AReportThatComesLateEndsNoLifetime)
{
    HostedStack s(1, 1);
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct link_context *context = Link_ContextNew();
    bool answered = false;
    struct link *link = Link_Connect(
        context, loop, s.Links(0).c_str(), nullptr,
        [](void *arg, const struct link_peer *, struct wire_msg **) {
            *static_cast<bool *>(arg) = true;
        },
        &answered);
    struct wire_report report = {};

    ASSERT_EQ(s.Submit(0, "a1", "1500").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "running"));
    report.msg.type = WIRE_REPORT;
    report.stamp = 1;
    report.stamped_by = 1;
    Str_Copy(report.agent, sizeof(report.agent), "agent-0");
    Str_Copy(report.worker, sizeof(report.worker), "i-before");
    Str_Copy(report.service, sizeof(report.service), "pool");
    EXPECT_TRUE(WaitFor([&] {
        Link_Send(link, nullptr, &report.msg);
        ev_run(loop, EVRUN_NOWAIT);
        return answered;
    }));
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 1u);
    Link_Free(link);
    Link_ContextFree(context);
    ev_loop_destroy(loop);
}

} /* namespace */
