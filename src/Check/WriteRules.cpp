#include "Check/WriteRules.h"

#include <algorithm>

namespace Lavendervane {

namespace {

class WriteChecker {
public:
    WriteChecker(const IndexedWrite& write, const FinalContent& content, std::vector<Violation>& violations)
        : write(write)
        , content(content)
        , violations(violations)
    {
        for (const Cell& cell : write.cells)
            this->positions.push_back(content.positions(cell, write.first().value));
    }

    void run()
    {
        this->checkCounts();
        if (this->write.first().operation == HistoryOperation::Append)
            this->checkList();
        this->checkAtomicity();
    }

private:
    void report(const char* rule, const std::string& text)
    {
        const HistoryEvent& event = this->write.first();
        this->violations.push_back({ rule,
            text + ": value \"" + event.value + "\" of key \"" + event.key + "\", organisation " + event.organisation
                + ", group " + event.group,
            this->write.lines() });
    }

    bool isLoggedAtLeast(size_t times) const
    {
        return std::any_of(this->positions.begin(), this->positions.end(),
            [times](const auto& positions) { return positions.size() >= times; });
    }

    void checkCounts()
    {
        const bool missing = std::any_of(
            this->positions.begin(), this->positions.end(), [](const auto& positions) { return positions.empty(); });
        if (this->write.acknowledgedAttempt() && missing)
            this->report("lost_write", "an acknowledged write is not in the final log");
        if (this->isLoggedAtLeast(2))
            this->report("double_write", "a write is in the final log more than once");
        if (this->write.neverRun() && this->isLoggedAtLeast(1))
            this->report("false_not_run", "a write answered with not_run is in the final log");
    }

    // The stored list is checked in addition to the log, because a faulty endpoint may apply a log entry twice or
    // never.
    void checkList()
    {
        const auto list = this->content.value(this->write.cells.front());
        const auto items = splitList(list.is_string() ? list.get<std::string>() : "");
        const auto count = std::count(items.begin(), items.end(), this->write.first().value);
        const auto logged = static_cast<std::ptrdiff_t>(this->positions.front().size());
        if (count > 1 && logged <= 1)
            this->report("double_write", "an item is in the final list more than once");
        if (count == 0 && logged > 0)
            this->report("lost_write", "an item of the final log is not in the final list");
    }

    void checkAtomicity()
    {
        if (this->positions.front() != this->positions.back())
            this->report("mixed_transaction", "the two writes of a transaction are in different log entries");
        for (const uint64_t position : this->positions.front()) {
            if (this->content.valuesAt(this->write.first().group, position).size() > 1)
                this->report("mixed_transaction", "a log entry holds writes of several requests");
        }
    }

    const IndexedWrite& write;
    const FinalContent& content;
    std::vector<Violation>& violations;
    std::vector<std::vector<uint64_t>> positions; ///< log positions of the value, for each cell of the write
};

} // namespace

std::vector<Violation> checkWrites(const WriteIndex& index, const FinalContent& content)
{
    std::vector<Violation> violations;
    for (const IndexedWrite& write : index.writes()) {
        if (content.hasGroup(write.first().group))
            WriteChecker(write, content, violations).run();
    }
    return violations;
}

} // namespace Lavendervane
