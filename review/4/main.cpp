// LOST: machines get SIGTERM in turn while clients have transactions open. See claim.txt.
#include "../fleet.h"

using namespace standin;

namespace {

/// One statement of a client.
struct Sent {
    unsigned machine = 0;
    std::string id, text;
    double sentMs = 0, endMs = 0;
    double beginMs = 0; ///< when the client sent the BEGIN of the transaction
    bool answered = false;
};

/// A planned stop of a machine.
struct Stop {
    unsigned machine = 0;
    double signalMs = 0;
};

constexpr double statementTimeoutMs = 2000; // timeout_ms of the route
constexpr double operationDeadlineMs = 4000; // deadline_ms of stock-look
constexpr double graceMs = 6000;
constexpr unsigned sessions = 292; // those of the sheet, half of them at each machine
constexpr unsigned statementsOfTransaction = 10; // nine reads and the commit

} // namespace

int main(int, char** arguments)
{
    limitRun();
    Record record(arguments[1]);
    const bool trouble = hasTrouble();

    std::mutex mutex;
    std::map<std::string, Run> runs; ///< by the id of the statement
    std::vector<Sent> statements;

    FleetSettings settings;
    settings.machines = 2;
    settings.services = 3;
    settings.database.work = { 40, 0.7, 300 }; // stock-look
    for (const char* database : { "stock1", "stock2", "stock3" })
        settings.routes.push_back({ { "database", database }, { "prefix", "/" }, { "route_type", "bounded_staleness" },
            { "timeout_ms", 2000 }, { "target_latency_ms", 600 }, { "priority", 2 }, { "max_attempts", 2 },
            { "max_staleness_ms", 1500 }, { "public", false } });
    settings.tenants = Json::array({ { { "name", "nypu920" }, { "api_keys", { "u6wsjnbanfqasnmgkcuy" } }, { "priority", 1 },
        { "rate_per_s", 123 }, { "burst", 123 } } });

    auto fleet = std::make_unique<Fleet>(settings, record, [&](const Run& run) {
        const std::lock_guard lock(mutex);
        runs[run.id] = run;
        record.line("database %s ran %s %s, arrived at %.1f", run.database.c_str(), run.id.c_str(), run.text.c_str(), run.arrivedMs);
    });
    if (!waitUntilReady(fleet->machines, 30'000))
        finish(fleet, record, 2, "the machines did not become ready");
    sleepMs(2000); // the shares of the limit settle

    std::atomic<bool> ending { false };
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < sessions; ++number) {
        threads.emplace_back([&, number] {
            const unsigned index = number % 2;
            const Machine& machine = *fleet->machines[index];
            const std::string database = "stock" + std::to_string(number % 3 + 1);
            sleepMs(uniform(0, 2500));
            while (!ending) {
                Client client;
                std::string code;
                bool open = client.open(machine, database, "u6wsjnbanfqasnmgkcuy", code);
                if (!open)
                    sleepMs(500);
                while (open && !ending) {
                    const double begin = nowMs();
                    const auto ask = [&](const std::string& text) {
                        Sent sent { index, nextId(), text, nowMs(), 0, begin, false };
                        const Answer answer = client.query(sent.id, text);
                        sent.endMs = nowMs();
                        sent.answered = answer.complete || answer.timedOut;
                        record.line("session %u at %s sent %s %s at %.1f: %s", number, machine.name.c_str(), sent.id.c_str(),
                            text.c_str(), sent.sentMs,
                            answer.complete ? (answer.code.empty() ? "ok" : answer.code.c_str())
                                            : (answer.timedOut ? "no answer" : "connection ended, no answer"));
                        const std::lock_guard lock(mutex);
                        statements.push_back(sent);
                        return answer;
                    };
                    Answer answer = ask("BEGIN READ");
                    for (unsigned count = 1; count < statementsOfTransaction && answer.complete && answer.code.empty(); ++count) {
                        answer = ask("READ 1a" + std::to_string(number));
                        if (answer.complete && answer.code.empty())
                            sleepMs(uniform(220, 400));
                    }
                    if (answer.complete)
                        answer = ask(answer.code.empty() ? "COMMIT" : "ROLLBACK");
                    open = answer.complete;
                    sleepMs(uniform(50, 500));
                }
            }
        });
    }

    sleepMs(8000);
    std::vector<Stop> stops;
    for (unsigned round = 0; round < 6; ++round) {
        const unsigned index = round % 2;
        Machine& machine = *fleet->machines[index];
        const Stop stop { index, nowMs() };
        stops.push_back(stop); // without the disruption, the same spans are checked
        if (trouble) {
            record.line("SIGTERM to %s", machine.name.c_str());
            machine.signal(SIGTERM);
            while (nowMs() < stop.signalMs + graceMs && !machine.hasEnded())
                sleepMs(10);
            if (!machine.hasEnded()) {
                record.line("SIGKILL to %s", machine.name.c_str());
                machine.signal(SIGKILL);
                while (!machine.hasEnded())
                    sleepMs(10);
            }
            record.line("%s has ended", machine.name.c_str());
            sleepMs(800);
            machine.start();
            record.line("%s is started again", machine.name.c_str());
        }
        // The next stop comes when the machine has been back for more than contact_ms.
        const double next = stop.signalMs + 13'000;
        while (nowMs() < next)
            sleepMs(50);
    }
    ending = true;

    // RULES.md, LOST, as written: the machine has read a whole request, it has been passed on to a database, and the
    // connection ended without a complete answer, until 1 s after grace_s. Left out are requests beyond the route's timeout
    // or the client's deadline, and those that were sent no later than 3 s after the SIGTERM.
    const std::lock_guard lock(mutex);
    unsigned cut = 0;
    std::string first;
    for (const Sent& sent : statements) {
        for (const Stop& stop : stops) {
            const double after = sent.sentMs - stop.signalMs;
            if (sent.answered || sent.machine != stop.machine || after <= 3000 || after > graceMs + 1000)
                continue;
            const bool withinTime = sent.endMs - sent.sentMs < statementTimeoutMs && sent.endMs - sent.beginMs < operationDeadlineMs;
            const auto run = runs.find(sent.id);
            if (!withinTime || run == runs.end())
                continue;
            ++cut;
            char text[300];
            std::snprintf(text, sizeof text, "%s %s: sent %.0f ms after the SIGTERM, reached %s at %.0f ms, connection ended at %.0f ms",
                sent.id.c_str(), sent.text.c_str(), after, run->second.database.c_str(), run->second.arrivedMs - stop.signalMs,
                sent.endMs - stop.signalMs);
            record.line("LOST %s", text);
            if (first.empty())
                first = text;
        }
    }
    if (statements.size() < 3000)
        finish(fleet, record, 2, "too few statements were sent: " + std::to_string(statements.size()));
    finish(fleet, record, cut ? 1 : 0,
        std::string(cut ? "LOST broken: " : "LOST held: ") + std::to_string(cut) + " of " + std::to_string(statements.size())
            + " statements were passed on to a database and never answered, over " + std::to_string(stops.size()) + " stops"
            + (first.empty() ? "" : "; the first: " + first));
}
