"""Tests of tickets: at most one run per ticket."""

import testtools

from plantainhook import tickets


class TicketBookTest(testtools.TestCase):
    """Check what each use of a ticket allows."""

    def setUp(self) -> None:
        """Create a book with one ticket."""
        super().setUp()
        self.book = tickets.TicketRegistry("127.0.0.1:7080", 0xABC)
        self.ticket = self.book.issue(0.0)

    def test_text_round_trip(self) -> None:
        """Guards against a ticket that names another daemon when read."""
        parsed = tickets.parse_ticket(self.ticket.text()).unwrap()
        self.assertEqual(self.ticket, parsed)

    def test_malformed_texts(self) -> None:
        """Guards against a crash on text that callers send."""
        for text in ("", "a/b", "a/b/c/d", "a/zz/1", "a/1/x", "///"):
            self.assertTrue(tickets.parse_ticket(text).is_err(), text)

    def test_second_use_joins(self) -> None:
        """Guards against a resend that runs beside the first request."""
        self.assertIs(
            tickets.TicketUse.RUN, self.book.begin(self.ticket, "f", 1.0)
        )
        self.assertIs(
            tickets.TicketUse.JOIN, self.book.begin(self.ticket, "f", 1.0)
        )

    def test_stored_outcome(self) -> None:
        """Guards against a resend that runs after the first has ended."""
        self.book.begin(self.ticket, "f", 1.0)
        self.book.complete(self.ticket, 200, b"answer")
        self.assertIs(
            tickets.TicketUse.STORED, self.book.begin(self.ticket, "f", 2.0)
        )
        self.assertEqual((200, b"answer"), self.book.outcome(self.ticket))

    def test_other_request_with_used_ticket(self) -> None:
        """Guards against the answer of another request."""
        self.book.begin(self.ticket, "f", 1.0)
        self.assertIs(
            tickets.TicketUse.MISMATCH, self.book.begin(self.ticket, "g", 1.0)
        )

    def test_release_after_not_run(self) -> None:
        """Guards against a ticket that is lost to a refusal."""
        self.book.begin(self.ticket, "f", 1.0)
        self.book.release(self.ticket)
        self.assertIs(
            tickets.TicketUse.RUN, self.book.begin(self.ticket, "f", 2.0)
        )

    def test_other_incarnation(self) -> None:
        """Guards against a restarted daemon that runs an old ticket."""
        restarted = tickets.TicketRegistry("127.0.0.1:7080", 0xDEF)
        restarted.issue(0.0)
        self.assertIs(
            tickets.TicketUse.UNKNOWN, restarted.begin(self.ticket, "f", 1.0)
        )

    def test_expired_ticket(self) -> None:
        """Guards against a run under a ticket whose record is gone."""
        late_s = tickets.TICKET_AGE_LIMIT_S + 1
        self.assertIs(
            tickets.TicketUse.UNKNOWN,
            self.book.begin(self.ticket, "f", late_s),
        )

    def test_running_ticket_does_not_expire(self) -> None:
        """Guards against a second run of a request that takes long."""
        self.book.begin(self.ticket, "f", 1.0)
        for age in range(1, 5):
            late_s = age * tickets.TICKET_AGE_LIMIT_S
            self.assertIs(
                tickets.TicketUse.JOIN,
                self.book.begin(self.ticket, "f", late_s),
            )

    def test_outcome_memory_is_bounded(self) -> None:
        """Guards against stored outcomes that fill the memory."""
        body = b"x" * (tickets.OUTCOME_LIMIT_BYTES // 2)
        used = [self.book.issue(0.0) for _ in range(3)]
        for ticket in used:
            self.book.begin(ticket, "f", 1.0)
            self.book.complete(ticket, 200, body)
        uses = [self.book.begin(ticket, "f", 2.0) for ticket in used]
        self.assertEqual(
            [
                tickets.TicketUse.UNKNOWN,
                tickets.TicketUse.STORED,
                tickets.TicketUse.STORED,
            ],
            uses,
        )
