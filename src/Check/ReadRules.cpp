#include "Check/ReadRules.h"

#include "Check/SessionWrites.h"

#include <algorithm>
#include <unordered_map>

namespace Lavendervane {

using Json = nlohmann::json;

namespace {

class ReadChecker {
public:
    ReadChecker(const History& history, const WriteIndex& index, const FinalContent& content)
        : history(history)
        , index(index)
        , content(content)
        , sessions(index)
    {
    }

    std::vector<Violation> run()
    {
        for (const HistoryEvent& event : this->history.events) {
            if (event.outcome != Outcome::Done)
                continue;
            this->checkRequestId(event);
            if (!this->checkResultFormat(event) || isWrite(event.operation))
                continue;
            if (event.operation == HistoryOperation::GetPair && event.results[0] != event.results[1])
                this->report("mixed_transaction", "the two values of a pair differ", { event.line });
            const auto cells = touchedCells(event);
            for (size_t cellIndex = 0; cellIndex < cells.size(); ++cellIndex)
                this->checkRead(event, cells[cellIndex], event.results[cellIndex]["value"]);
        }
        return std::move(this->violations);
    }

private:
    void report(const char* rule, std::string text, std::vector<size_t> lines)
    {
        this->violations.push_back({ rule, std::move(text), std::move(lines) });
    }

    void checkRequestId(const HistoryEvent& event)
    {
        if (event.requestId.empty())
            return;
        const auto [known, added] = this->requestIds.try_emplace(event.requestId, &event);
        if (!added)
            this->report("crossed_answer", "two requests received the request id \"" + event.requestId + "\"",
                { known->second->line, event.line });
    }

    // Results that do not match the statements of the request show that the response belongs to another request.
    bool checkResultFormat(const HistoryEvent& event)
    {
        const size_t expected = touchedKeys(event.operation, event.key).size();
        const char* member = isWrite(event.operation) ? "ok" : "value";
        const bool matches = event.results.is_array() && event.results.size() == expected
            && std::all_of(event.results.begin(), event.results.end(),
                [member](const Json& result) { return result.is_object() && result.contains(member); });
        if (!matches)
            this->report("crossed_answer", "the results do not match the statements of the request", { event.line });
        return matches;
    }

    void checkRead(const HistoryEvent& event, const Cell& cell, const Json& value)
    {
        std::vector<std::string> values;
        if (value.is_string())
            values = splitList(value.get<std::string>());
        else if (!value.is_null()) {
            this->report("crossed_answer",
                "the value of key \"" + cell.key + "\" is not a string, so no request wrote it", { event.line });
            return;
        }
        for (const std::string& item : values)
            this->checkOrigin(event, cell, item);
        this->checkSession(event, cell, values);
    }

    void checkOrigin(const HistoryEvent& event, const Cell& cell, const std::string& value)
    {
        const IndexedWrite* write = this->index.find(cell, value);
        if (!write) {
            this->report("crossed_answer",
                "value \"" + value + "\" was never written to key \"" + cell.key + "\" of organisation "
                    + cell.organisation,
                { event.line });
            return;
        }
        if (write->first().start > event.end)
            this->report("crossed_answer", "the read ended before value \"" + value + "\" was written",
                { event.line, write->first().line });
        if (this->content.hasGroup(cell.group) && this->content.positions(cell, value).empty())
            this->report("vanished_read", "value \"" + value + "\" was read and is not in the final log",
                { event.line, write->first().line });
    }

    void checkSession(const HistoryEvent& event, const Cell& cell, const std::vector<std::string>& values)
    {
        for (const HistoryEvent* ownWrite : this->sessions.acknowledgedBefore(event, cell)) {
            const bool isRead = std::find(values.begin(), values.end(), ownWrite->value) != values.end();
            const bool isList = ownWrite->operation == HistoryOperation::Append;
            if (!isRead && (isList || values.empty() || this->isOlder(cell, values.front(), *ownWrite))) {
                this->report("stale_read", "the session does not read its own write \"" + ownWrite->value + "\"",
                    { ownWrite->line, event.line });
                return;
            }
        }
    }

    // The log positions give the order of two writes. If they are not known, the value is only known to be older if its
    // write was acknowledged before the other write started.
    bool isOlder(const Cell& cell, const std::string& value, const HistoryEvent& other) const
    {
        const auto valuePositions = this->content.positions(cell, value);
        const auto otherPositions = this->content.positions(cell, other.value);
        if (!valuePositions.empty() && !otherPositions.empty())
            return valuePositions.back() < otherPositions.front();
        const IndexedWrite* write = this->index.find(cell, value);
        const HistoryEvent* acknowledged = write ? write->acknowledgedAttempt() : nullptr;
        return acknowledged && acknowledged->end < other.start;
    }

    const History& history;
    const WriteIndex& index;
    const FinalContent& content;
    SessionWrites sessions;
    std::unordered_map<std::string, const HistoryEvent*> requestIds;
    std::vector<Violation> violations;
};

} // namespace

std::vector<Violation> checkReads(const History& history, const WriteIndex& index, const FinalContent& content)
{
    return ReadChecker(history, index, content).run();
}

} // namespace Lavendervane
