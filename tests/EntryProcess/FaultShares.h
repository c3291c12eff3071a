#pragma once

namespace Lavendervane::EntryProcess {

/// Faults of a run, each as the share (0 to 1) of the cases in which it occurs.
struct FaultShares {
    /// An answer of an endpoint is sent a second time, 0 to 60 ms later.
    double repeatedAnswers = 0;
    /// An endpoint refuses a read, write, execution or session value as busy.
    double busyRefusals = 0;
    /// A row holds line feeds, carriage returns, blanks at its ends, or bytes that are not UTF-8.
    double oddRows = 0;
    /// The text of a caller's statement holds such bytes.
    double oddTexts = 0;
    /// A message is written in pieces of a few bytes with pauses between them.
    double smallSegments = 0;
};

} // namespace Lavendervane::EntryProcess
