"""Tests of tickets: each ticket runs at most one request."""

import testtools

from plantainhook import tickets


class TicketRegistryTest(testtools.TestCase):
    """Check what each use of a ticket allows."""

    def setUp(self) -> None:
        """Create a registry with one ticket."""
        super().setUp()
        self.registry = tickets.TicketRegistry("127.0.0.1:7080", 0xABC)
        self.ticket = self.registry.issue(0.0)

    def test_text_round_trip(self) -> None:
        """Guard against a ticket that changes when formatted and parsed."""
        parsed = tickets.parse_ticket(self.ticket.text()).unwrap()
        self.assertEqual(self.ticket, parsed)

    def test_malformed_texts(self) -> None:
        """Guard against a crash on malformed text from callers."""
        for text in ("", "a/b", "a/b/c/d", "a/zz/1", "a/1/x", "///"):
            self.assertTrue(tickets.parse_ticket(text).is_err(), text)

    def test_second_use_joins(self) -> None:
        """Guard against a resend that runs while the first request does."""
        self.assertIs(
            tickets.TicketUse.RUN, self.registry.begin(self.ticket, "f", 1.0)
        )
        self.assertIs(
            tickets.TicketUse.JOIN, self.registry.begin(self.ticket, "f", 1.0)
        )

    def test_stored_outcome(self) -> None:
        """Guard against a resend that runs after the first request ended."""
        self.registry.begin(self.ticket, "f", 1.0)
        self.registry.complete(self.ticket, 200, b"answer")
        self.assertIs(
            tickets.TicketUse.STORED,
            self.registry.begin(self.ticket, "f", 2.0),
        )
        self.assertEqual((200, b"answer"), self.registry.outcome(self.ticket))

    def test_other_request_with_used_ticket(self) -> None:
        """Guard against a request that gets the answer of another one."""
        self.registry.begin(self.ticket, "f", 1.0)
        self.assertIs(
            tickets.TicketUse.MISMATCH,
            self.registry.begin(self.ticket, "g", 1.0),
        )

    def test_release_after_not_run(self) -> None:
        """Guard against a ticket that a refused request uses up."""
        self.registry.begin(self.ticket, "f", 1.0)
        self.registry.release(self.ticket)
        self.assertIs(
            tickets.TicketUse.RUN, self.registry.begin(self.ticket, "f", 2.0)
        )

    def test_other_incarnation(self) -> None:
        """Guard against a restarted daemon that accepts an old ticket."""
        restarted = tickets.TicketRegistry("127.0.0.1:7080", 0xDEF)
        restarted.issue(0.0)
        self.assertIs(
            tickets.TicketUse.UNKNOWN, restarted.begin(self.ticket, "f", 1.0)
        )

    def test_expired_ticket(self) -> None:
        """Guard against a request that runs with an expired ticket."""
        late_s = tickets.TICKET_AGE_LIMIT_S + 1
        self.assertIs(
            tickets.TicketUse.UNKNOWN,
            self.registry.begin(self.ticket, "f", late_s),
        )

    def test_running_ticket_does_not_expire(self) -> None:
        """Guard against a second run of a long request."""
        self.registry.begin(self.ticket, "f", 1.0)
        for age in range(1, 5):
            late_s = age * tickets.TICKET_AGE_LIMIT_S
            self.assertIs(
                tickets.TicketUse.JOIN,
                self.registry.begin(self.ticket, "f", late_s),
            )

    def test_outcome_memory_is_bounded(self) -> None:
        """Guard against stored outcomes that use unlimited memory."""
        body = b"x" * (tickets.OUTCOME_LIMIT_BYTES // 2)
        used = [self.registry.issue(0.0) for _ in range(3)]
        for ticket in used:
            self.registry.begin(ticket, "f", 1.0)
            self.registry.complete(ticket, 200, body)
        uses = [self.registry.begin(ticket, "f", 2.0) for ticket in used]
        self.assertEqual(
            [
                tickets.TicketUse.UNKNOWN,
                tickets.TicketUse.STORED,
                tickets.TicketUse.STORED,
            ],
            uses,
        )
