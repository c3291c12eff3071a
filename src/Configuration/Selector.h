#pragma once

#include "Configuration/Labels.h"

#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Condition on labels, written as requirements `a=b`, `a!=b`, `a in (b,c)`, `a notin (b,c)`, `a` or `!a` separated by
/// commas. All requirements must be satisfied. `*` matches everything; an empty text is rejected.
class Selector {
public:
    Selector() = default;

    /// Throws Error (step "parse selector") that quotes the invalid requirement.
    static Selector parse(std::string_view text);

    bool matches(const Labels&) const;
    const std::string& text() const { return this->source; }

    friend bool operator==(const Selector& left, const Selector& right) { return left.source == right.source; }

private:
    enum class Operator {
        In,
        NotIn,
        Exists,
        Absent,
    };
    struct Requirement {
        std::string label;
        Operator op = Operator::Exists;
        std::vector<std::string> values;
    };

    static Requirement parseRequirement(std::string_view text);
    static bool isSatisfied(const Requirement&, const Labels&);

    std::string source;
    std::vector<Requirement> requirements;
};

} // namespace Lavendervane
