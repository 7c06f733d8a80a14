/* Jobs from submission to completion, with entries, agents, workers and fakes
 * of the hosted platform as processes. */
#include "hosted-stack.h"

#include "wire.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <future>

using namespace harness;

namespace {

TEST(Hosted, AJobIsAcceptedAndShownByAnyEntry)
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

TEST(Hosted, InvalidCallsAreRefusedAtOnce)
{
    static const Refusal cases[] = {
        {"no such host", "GET", "/q/a1", "two.example", "key-one", "", 404},
        {"no such path", "GET", "/r/a1", "one.example", "key-one", "", 404},
        {"no key", "GET", "/q/a1", "one.example", "", "", 401},
        {"unknown key", "GET", "/q/a1", "one.example", "key-two", "", 401},
        {"no such job", "GET", "/q/a1", "one.example", "key-one", "", 410},
        {"cancel of an unknown job", "DELETE", "/q/a1", "one.example",
         "key-one", "", 410},
        {"id not hexadecimal", "GET", "/q/zz", "one.example", "key-one", "",
         400},
        {"truncated body", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{", 400},
        {"body not an object", "POST", "/q/a1", "one.example", "key-one", "[]",
         400},
        {"no steps", "POST", "/q/a1", "one.example", "key-one", "{}", 400},
        {"count not a number", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":\"many\"}]}", 400},
        {"negative need", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":1,\"gpu\":-1}]}", 400},
        {"after a later step", "POST", "/q/a1", "one.example", "key-one",
         "{\"steps\":[{\"count\":1,\"after\":[1]},{\"count\":1}]}", 400},
        {"unknown method", "PUT", "/q/a1", "one.example", "key-one", "", 405},
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

/* A filling task slows a serving task on the same worker down. The share of
 * the filling task must be lowered until the latency objective is met, and the
 * next owner must keep both the share and the objective. */
TEST(Hosted, AFillingTaskYieldsToAServingTaskAcrossATakeover)
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

/* Steps of a queue that asks for advice run only on workers that the adviser
 * approves. The adviser refuses questions at first; the owner retries with
 * growing pauses, then runs the job on an approved worker. It asks about a
 * worker that is not approved only once. */
TEST(Hosted, StepsRunOnlyWhereTheAdviserApproves)
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

/* A caller whose answer was lost submits the same id again, also at another
 * entry and after the job has ended. It stays one job. */
TEST(Hosted, AnIdSubmittedTwiceIsOneJob)
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

TEST(Hosted, AFailedTaskIsRetriedAsItsQueueAllows)
{
    HostedStack s(1, 1);

    EXPECT_EQ(s.Submit(0, "a1", "fail").status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "failed")) << s.Logs();
    EXPECT_EQ(s.Starts().size(), 2u);
}

/* The owner is killed while a job runs. The other entry takes over by the
 * owner row, leaves the run alone and records its end. */
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

/* All entries and agents are killed and restarted while a job runs. The agents
 * then know no term, and workers ignore orders below the term they have seen;
 * without the term in the answers of the owner nothing would run any more. */
TEST(Hosted, JobsSurviveTheKillingOfAllEntriesAndAgents)
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

/* The store refuses one entry and serves the other. Callers of the refused
 * entry are served through the other one, and its configuration stays up to
 * date. */
TEST(Hosted, AnEntryRefusedByTheStoreServesThroughAnother)
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

/* The store refuses all entries. A caller is refused with a time to retry, and
 * nothing was stored: later the same id is accepted and runs once. */
TEST(Hosted, CallersAreToldWhenToRetryWhileTheStoreIsUnreachable)
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

/* Writes take effect but their answers are lost, so the owner does not know
 * which rows are stored. It rewrites the owner row first, so that no earlier
 * write can take effect later, and goes on. Nothing runs twice. */
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

/* The store drops its change history while entries follow it. They list the
 * tables again and miss neither the configuration nor a job. */
TEST(Hosted, TablesAreListedAgainAfterTheHistoryIsDropped)
{
    HostedStack s(2, 1);

    s.DropHistory();
    s.PutConfig(2, {"key-one", "key-new"});
    EXPECT_TRUE(
        WaitFor([&] { return s.Query(0, "a1", "key-new").status == 410; }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
}

/* A worker crashes and restarts at its address under another incarnation. Its
 * run is started again, once. */
TEST(Hosted, ARestartedWorkerRunsItsTaskAgain)
{
    HostedStack s(1, 1);

    ASSERT_EQ(s.Submit(0, "a1", "700").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "running"));
    s.StartWorker(0, "i-again");
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Starts(), std::vector<std::string>{"a1.0.0.0/2"});
}

/* Runs job a1 until the agent of its worker knows a notice of departure;
 * returns the worker. */
size_t
RunUntilNotice(HostedStack &s, const std::string &payload,
               const std::string &notice)
{
    EXPECT_EQ(s.Submit(0, "a1", payload).status, 200);
    EXPECT_TRUE(s.WaitForState(0, "a1", "running")) << s.Logs();
    size_t at = Http("GET", s.workers[0]->Url("/starts")).body == "[]" ? 1 : 0;

    Http("PUT", s.workers[at]->Url("/say"), notice);
    EXPECT_TRUE(WaitFor([&] {
        return s.Logs().find("event=worker_draining") != std::string::npos;
    })) << s.Logs();
    return at;
}

/* A worker announces that it leaves in 100 ms and is gone without announcing
 * its end. The agent concludes that from refused polls, so that the run starts
 * elsewhere without waiting for its lease. */
TEST(Hosted, ADepartedWorkerIsFoundByRefusedPolls)
{
    HostedStack s(1, 2, "departures: true");
    size_t at = RunUntilNotice(s, "1500", "drain 100");

    s.workers[at]->process.Signal(SIGKILL);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_NE(s.Logs().find("shown_by=refused"), std::string::npos)
        << s.Logs();
    EXPECT_EQ(s.Logs().find("lease_over"), std::string::npos) << s.Logs();
}

/* The remaining time that a worker announces has to reach the owner: a run
 * that would not end in it is stopped and starts elsewhere while the worker
 * still serves. */
TEST(Hosted, ARunLeavesAWorkerThatAnnouncesItsDeparture)
{
    HostedStack s(1, 2, "departures: true", "departures: true");
    size_t at = RunUntilNotice(s, "60000", "drain 50000");

    EXPECT_TRUE(WaitFor([&] {
        return Http("GET", s.workers[1 - at]->Url("/starts")).body ==
               R"(["a1.0.0.0/2"])";
    })) << s.Logs();
    EXPECT_NE(s.Logs().find("run_stopped reason=drains"), std::string::npos)
        << s.Logs();
}

/* A draining worker hangs after its announced time; its process still exists
 * and may go on running its tasks. Its run starts elsewhere only after its
 * lease has expired. */
TEST(Hosted, AHungDrainingWorkerIsNotTakenForDeparted)
{
    HostedStack s(1, 2, "departures: true");
    size_t at = RunUntilNotice(s, "1500", "drain 100");

    s.workers[at]->process.Signal(SIGSTOP);
    EXPECT_TRUE(s.WaitForState(0, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.Logs().find("event=worker_gone"), std::string::npos)
        << s.Logs();
    EXPECT_NE(s.Logs().find("lease_over"), std::string::npos) << s.Logs();
    s.workers[at]->process.Signal(SIGCONT);
}

/* SIGHUP announces that the settings file has changed. It kills a process
 * without a handler and cuts off its requests. Handlers are installed in
 * main(), so both processes have to be up first. */
TEST(Hosted, SighupDoesNotEndAProcess)
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

/* On SIGTERM an entry stops being ready at once, so that the load balancer
 * sends callers to other entries; calls that still arrive are served. */
TEST(Hosted, ADrainingEntryServesLateCalls)
{
    HostedStack s(2, 1);

    s.entries[0]->Signal(SIGTERM);
    EXPECT_TRUE(WaitFor([&] { return !s.Ready(0); }));
    EXPECT_EQ(s.Submit(0, "a1", "50").status, 200);
    EXPECT_TRUE(s.WaitForState(1, "a1", "completed")) << s.Logs();
    EXPECT_EQ(s.entries[0]->Wait(), 0) << s.Logs();
    EXPECT_EQ(s.agents[0]->Terminate(), 0) << s.Logs();
}

/* A submitted job and the answer to it. */
struct Submission {
    std::string id;
    int status;
    std::string reason;
};

/* Submits jobs on one connection until that breaks. */
std::vector<Submission>
SubmitUntilClosed(const HostedStack &s, int entry, const std::string &prefix,
                  int deadline_ms)
{
    std::vector<Submission> all;
    Client client;

    for (int n = 0; n < 100; n++) {
        std::string id = prefix + std::to_string(n);
        Reply r = client.Send(
            "POST", s.Entry(entry) + "/q/" + id,
            R"({"task-spec":"50","steps":[{"count":1,"gpu":1}]})",
            {"Host: one.example", "Authorization: Bearer key-one",
             "Parsleyfall-Deadline-Ms: " + std::to_string(deadline_ms)});

        if (r.status == 0) {
            break;
        }
        all.push_back({id, r.status, Text(r.json().get(), "reason")});
    }
    return all;
}

/* Guards against "not run" for jobs whose write is under way when the drain of
 * their entry times out: the store makes these writes. The callers' deadlines
 * differ, so that one call at least is open at any moment. */
TEST(Hosted, ADrainThatTimesOutRefusesNoStoredJob)
{
    HostedStack s(2, 1);
    int leaving = 1 - s.Owner(), stopped = 0;
    const auto at = static_cast<size_t>(leaving);
    std::vector<std::future<std::vector<Submission>>> clients;
    std::vector<Submission> refused;

    s.StoreFault(0, "hold");
    s.StoreFault(1, "hold");
    s.entries[at]->Signal(SIGTERM);
    for (int deadline_ms : {1250, 1750, 3000}) {
        clients.push_back(
            std::async(std::launch::async, SubmitUntilClosed, std::cref(s),
                       leaving, std::to_string(deadline_ms), deadline_ms));
    }
    for (auto &client : clients) {
        for (const Submission &r : client.get()) {
            if (r.status != 504) {
                EXPECT_EQ(r.status, 503) << r.id;
                refused.push_back(r);
            }
            stopped += r.status == 504 && r.reason == "stopping";
        }
    }
    EXPECT_EQ(s.entries[at]->Wait(), 1) << s.Logs();
    EXPECT_GE(stopped, 1) << s.Logs();
    size_t made = static_cast<size_t>(s.ReleaseHeld());
    EXPECT_GE(made, 1u);
    EXPECT_TRUE(WaitFor([&] { return s.Starts().size() == made; }))
        << s.Logs();
    for (const std::string &start : s.Starts()) {
        for (const Submission &r : refused) {
            EXPECT_NE(start.substr(0, start.find('.')), r.id) << r.reason;
        }
    }
}

/* A caller submits a job while the store is silent and disconnects before the
 * answer. The log must show at once that it left, how long it had waited and
 * for what, and later the answer that was not delivered. Otherwise nobody
 * could tell why a job runs whose caller was never answered. */
TEST(Hosted, ACallerThatDisconnectsIsLogged)
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

/* The store accepts calls but answers none. A caller that waits for 1 s is
 * answered "unknown" within that time and submits the same id again at another
 * entry, which reaches the store; the job runs once. With the store's own
 * timeout of 1.5 s the answer would come too late. */
TEST(Hosted, ACallerIsAnsweredWithinItsDeadline)
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

/* Output of `parsleyfall explain ID` over the logs of all entries. */
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

/* One call is refused, one job fails and one call has an unknown outcome. The
 * logs must show the cause of each by its id alone. */
TEST(Hosted, ExplainShowsTheCauseOfAFailedRequest)
{
    HostedStack s(1, 1);

    ASSERT_EQ(s.Submit(0, "a1", "fail").status, 200);
    ASSERT_TRUE(s.WaitForState(0, "a1", "failed"));
    EXPECT_TRUE(ExplainShows(s, "a1", "event=run_over reason=failed"));
    EXPECT_TRUE(ExplainShows(s, "a1", "event=job_state reason=failed"));
    s.StoreFault(0, "lose");
    EXPECT_EQ(s.Submit(0, "a2", "50").status, 200)
        << "the repeated write finds the row stored";
    s.StoreFault(0, "silent");
    EXPECT_EQ(s.Submit(0, "a3", "50").status, 504);
    EXPECT_TRUE(ExplainShows(s, "a3", "outcome=unknown reason=store_silent"));
    s.StoreFault(0, "busy");
    EXPECT_TRUE(
        WaitFor([&] { return s.Submit(0, "a4", "50").status == 503; }));
    EXPECT_TRUE(ExplainShows(s, "a4", "outcome=later reason=store_away"));
    EXPECT_EQ(Explain(s, "a").find("a1"), std::string::npos);
}

/* The product's own interface serves the same jobs, and each organisation sees
 * only its own. */
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

/* A report that was delayed by a network partition names another incarnation
 * of the worker. It must not end the present one, or the task would be started
 * again while it runs. The entry detects the report by its stamp, which is not
 * from its present process. */
TEST(Hosted, ADelayedReportDoesNotEndAnIncarnation)
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
