#include "Statements/StatementAnswer.h"

namespace Lavendervane {

std::string_view toString(AnswerCode code)
{
    switch (code) {
    case AnswerCode::Done:
        return "done";
    case AnswerCode::Busy:
        return "busy";
    case AnswerCode::Aborted:
        return "aborted";
    case AnswerCode::Lagging:
        return "lagging";
    case AnswerCode::ReadOnly:
        return "read_only";
    case AnswerCode::WrongEndpoint:
        return "wrong_endpoint";
    case AnswerCode::TooMany:
        return "too_many";
    case AnswerCode::Failed:
        return "failed";
    case AnswerCode::UnknownPrepared:
        return "unknown_prepared";
    case AnswerCode::TimedOut:
        return "timed_out";
    case AnswerCode::InDoubt:
        return "in_doubt";
    case AnswerCode::Malformed:
        return "malformed";
    case AnswerCode::Unauthenticated:
        return "unauthenticated";
    case AnswerCode::UnknownDatabase:
        return "unknown_database";
    case AnswerCode::TooLarge:
        return "too_large";
    }
    return "unknown";
}

} // namespace Lavendervane
