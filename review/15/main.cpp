// Case 15: a client sets a session value inside its transaction and then commits.
#include "../harness-3.h"

using namespace review3;

using Values = std::map<std::string, std::string>;

static std::string describe(const Values& values)
{
    std::string text;
    for (const auto& [name, value] : values)
        text += (text.empty() ? "" : " ") + name + "=" + value;
    return "{" + text + "}";
}

static int play(Deployment& deployment)
{
    Record& record = deployment.record;
    Service& service = deployment.service;
    deployment.configure(1, Json::array({ Deployment::tenant("desk", { "k1a" }) }));
    if (!deployment.start()) {
        record.note("the processes did not become ready");
        return 2;
    }
    sleepMs(1000);
    Values acknowledged;
    std::map<std::string, Values> expected; ///< by the id of the statement
    Client client;
    uint64_t number = 0;
    const auto ask = [&](const std::string& text) {
        const std::string id = "q" + std::to_string(++number);
        expected[id] = acknowledged;
        record.line("client sends " + id + " " + text);
        const Answer answer = client.query(id, text);
        record.line("client gets " + id + " " + answer.code + " " + answer.text + " " + answer.state);
        return answer;
    };
    const auto set = [&](const std::string& name, const std::string& value) {
        if (!ask("SET " + name + " " + value).isDone())
            return false;
        acknowledged[name] = value;
        return true;
    };
    size_t committed = 0;
    for (int round = 0; round < 20; ++round) {
        const std::string clerk = "clerk" + std::to_string(round);
        if (!client.isOpen()) {
            acknowledged.clear();
            if (!client.connectTo(*deployment.machines[static_cast<size_t>(round) % 6], "db-primary", "k1a").isDone()) {
                sleepMs(200);
                continue;
            }
        }
        // Without the trouble, the value is set before the transaction.
        const bool isSet = hasTrouble() || set("clerk", clerk);
        if (!isSet || !ask("BEGIN").isDone() || !ask("WRITE item " + clerk).isDone()
            || (hasTrouble() && !set("clerk", clerk))) {
            client.end();
            continue;
        }
        committed += ask("COMMIT").isDone();
    }
    const Lock lock(service.mutex);
    std::string wrong;
    size_t count = 0;
    for (const Run& run : service.runs) {
        const Values& wanted = expected[run.id];
        record.line("run " + run.id + " " + run.text + " at " + run.database + " with values " + describe(run.values)
            + ", acknowledged " + describe(wanted));
        if (run.values == wanted)
            continue;
        ++count;
        if (count <= 5)
            wrong += " " + run.id + " " + run.text + " with " + describe(run.values) + " in place of " + describe(wanted)
                + ";";
    }
    record.note(std::to_string(committed) + " transactions committed, " + std::to_string(service.runs.size())
        + " statements run");
    if (!committed) {
        record.note("no transaction was committed");
        return 2;
    }
    if (!count) {
        record.note("held");
        return 0;
    }
    record.note("PINNED: " + std::to_string(count) + " statements ran with other session values:" + wrong);
    return 1;
}

int main() { return runCase("review/15/record.txt", 0, 2, play); }
