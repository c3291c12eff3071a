// CONFIG: a key is taken away while its clients have transactions open. See claim.txt.
#include "../fleet.h"

using namespace standin;

namespace {

constexpr double applyMs = 3000; // config_apply_ms
constexpr unsigned sessions = 292; // those of the sheet

} // namespace

int main(int, char** arguments)
{
    limitRun();
    Record record(arguments[1]);
    const bool trouble = hasTrouble();

    std::mutex mutex;
    std::map<std::string, Run> runs; ///< by the id of the statement
    std::map<std::string, double> sent; ///< commits, by the id of the statement

    FleetSettings settings;
    settings.machines = 2;
    settings.services = 3;
    settings.database.work = { 24, 0.7, 60 }; // shop-order
    for (const char* database : { "orders1", "orders2", "orders3" })
        settings.routes.push_back({ { "database", database }, { "prefix", "/" }, { "route_type", "own_writes" },
            { "timeout_ms", 1000 }, { "target_latency_ms", 400 }, { "priority", 2 }, { "max_attempts", 2 },
            { "max_staleness_ms", 2500 }, { "public", false } });
    settings.tenants = Json::array({ { { "name", "nypu920" }, { "api_keys", { "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa" } },
        { "priority", 1 }, { "rate_per_s", 123 }, { "burst", 123 } } });

    auto fleet = std::make_unique<Fleet>(settings, record, [&](const Run& run) {
        const std::lock_guard lock(mutex);
        runs[run.id] = run;
        record.line("database %s ran %s %s, arrived at %.1f", run.database.c_str(), run.id.c_str(), run.text.c_str(), run.arrivedMs);
    });
    if (!waitUntilReady(fleet->machines, 30'000))
        finish(fleet, record, 2, "the machines did not become ready");
    sleepMs(2000); // the shares of the limit settle

    // A transaction writes an order, sets a value of the session three times and commits, with pauses in which its user reads
    // the order: five statements after BEGIN.
    // tx_idle_ms, 3 s, is not reached.
    std::atomic<bool> ending { false };
    std::atomic<unsigned> committed { 0 };
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < sessions; ++number) {
        threads.emplace_back([&, number] {
            const Machine& machine = *fleet->machines[number % 2];
            const std::string database = "orders" + std::to_string(number % 3 + 1);
            sleepMs(uniform(0, 4000));
            Client client;
            std::string code;
            if (!client.open(machine, database, "u6wsjnbanfqasnmgkcuy", code))
                return;
            while (!ending) {
                const auto ask = [&](const std::string& text) {
                    const std::string id = nextId();
                    const double now = nowMs();
                    if (text == "COMMIT") {
                        const std::lock_guard lock(mutex);
                        sent[id] = now;
                    }
                    const Answer answer = client.query(id, text);
                    record.line("session %u sent %s %s at %.1f: %s", number, id.c_str(), text.c_str(), now,
                        !answer.complete ? "no answer" : answer.code.empty() ? "ok" : answer.code.c_str());
                    return answer;
                };
                Answer answer = ask("BEGIN");
                const auto goesOn = [&answer] { return answer.complete && answer.code.empty(); };
                if (goesOn())
                    answer = ask("WRITE 1a" + std::to_string(number) + " xkqpwnzd");
                for (unsigned count = 0; count < 3 && goesOn(); ++count) {
                    sleepMs(uniform(1700, 2000));
                    answer = ask("SET note n" + std::to_string(static_cast<unsigned>(uniform(0, 1000))));
                }
                if (goesOn()) {
                    sleepMs(uniform(1700, 2000));
                    answer = ask("COMMIT");
                    committed += goesOn();
                } else if (answer.complete && answer.state != 'I') {
                    answer = ask("ROLLBACK");
                }
                if (!answer.complete || answer.code == "NOAUTH")
                    return;
                sleepMs(uniform(0, 200));
            }
        });
    }
    sleepMs(16'000);
    // Without the disruption, the same version comes, and the key stays.
    fleet->config["version"] = 9;
    if (trouble)
        fleet->config["tenants"][0]["api_keys"] = Json::array({ "j8pjbvk9m68k7b2ex5wa" });
    const double ackMs = fleet->putConfig();
    const Json keys = fleet->config["tenants"][0]["api_keys"];
    const bool isDropped = std::find(keys.begin(), keys.end(), Json("u6wsjnbanfqasnmgkcuy")) == keys.end();
    record.line("version 9 %s the key u6wsjnbanfqasnmgkcuy; acknowledged at %.1f", isDropped ? "drops" : "keeps", ackMs);
    sleepMs(14'000);
    ending = true;

    // RULES.md, CONFIG, as written: a request that was sent later than config_apply_ms after the acknowledgement of a version
    // is run with a key that the version has dropped.
    const std::lock_guard lock(mutex);
    unsigned late = 0;
    std::string first;
    for (const auto& [id, sentMs] : sent) {
        const auto run = runs.find(id);
        if (!isDropped || sentMs <= ackMs + applyMs || run == runs.end() || !run->second.code.empty())
            continue;
        ++late;
        char text[300];
        std::snprintf(text, sizeof text, "%s COMMIT: sent %.0f ms after the acknowledgement, run by %s for %s", id.c_str(),
            sentMs - ackMs, run->second.database.c_str(), run->second.tenant.c_str());
        record.line("CONFIG %s", text);
        if (first.empty())
            first = text;
    }
    if (committed < 50)
        finish(fleet, record, 2, "too few transactions were committed: " + std::to_string(committed));
    finish(fleet, record, late ? 1 : 0,
        std::string(late ? "CONFIG broken: " : "CONFIG held: ") + std::to_string(late)
            + " transactions were committed with a key that had been taken away; " + std::to_string(committed)
            + " were committed in all" + (first.empty() ? "" : "; the first: " + first));
}
