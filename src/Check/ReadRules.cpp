#include "Check/ReadRules.h"

#include "Check/SessionWrites.h"

#include <algorithm>
#include <unordered_map>

namespace Lavendervane {

using Json = nlohmann::json;

namespace {

class ReadCheck {
public:
    ReadCheck(const History& history, const WriteIndex& index, const FinalContent& content)
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
            if (!this->checkForm(event) || isWrite(event.operation))
                continue;
            if (event.operation == HistoryOperation::GetPair && event.results[0] != event.results[1])
                this->report("mixed_transaction", "the halves of a pair differ", { event.line });
            const auto cells = touchedCells(event);
            for (size_t place = 0; place < cells.size(); ++place)
                this->checkRead(event, cells[place], event.results[place]["value"]);
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
            this->report("crossed_answer", "two requests got the answer with request id \"" + event.requestId + "\"",
                { known->second->line, event.line });
    }

    // An answer of another form belongs to another request.
    bool checkForm(const HistoryEvent& event)
    {
        const size_t expected = touchedKeys(event.operation, event.key).size();
        const char* member = isWrite(event.operation) ? "ok" : "value";
        const bool fits = event.results.is_array() && event.results.size() == expected
            && std::all_of(event.results.begin(), event.results.end(),
                [member](const Json& result) { return result.is_object() && result.contains(member); });
        if (!fits)
            this->report("crossed_answer", "the results do not fit the statements", { event.line });
        return fits;
    }

    void checkRead(const HistoryEvent& event, const Cell& cell, const Json& value)
    {
        std::vector<std::string> values;
        if (value.is_string())
            values = splitList(value.get<std::string>());
        else if (!value.is_null()) {
            this->report("crossed_answer", "the value was written by no request", { event.line });
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
        for (const HistoryEvent* written : this->sessions.before(event, cell)) {
            const bool seen = std::find(values.begin(), values.end(), written->value) != values.end();
            const bool list = written->operation == HistoryOperation::Append;
            if (!seen && (list || values.empty() || this->isOlder(cell, values.front(), *written))) {
                this->report("stale_read", "the session does not read its own write \"" + written->value + "\"",
                    { written->line, event.line });
                return;
            }
        }
    }

    // Without a log only a write that was over before the other one began is known to be older.
    bool isOlder(const Cell& cell, const std::string& value, const HistoryEvent& written) const
    {
        const auto valuePositions = this->content.positions(cell, value);
        const auto writtenPositions = this->content.positions(cell, written.value);
        if (!valuePositions.empty() && !writtenPositions.empty())
            return valuePositions.back() < writtenPositions.front();
        const IndexedWrite* write = this->index.find(cell, value);
        const HistoryEvent* acknowledged = write ? write->acknowledged() : nullptr;
        return acknowledged && acknowledged->end < written.start;
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
    return ReadCheck(history, index, content).run();
}

} // namespace Lavendervane
