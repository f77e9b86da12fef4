"""Requests under which servers end, and that have done so before."""

from hawthornfold.gathering import GroupEnd
from hawthornfold.gathering import Send
from hawthornfold.gathering import Verdict
from hawthornfold.gathering.tests import test_execution
from hawthornfold.gathering.tests.test_execution import ANSWERED
from hawthornfold.gathering.tests.test_execution import LOST
from hawthornfold.gathering.tests.test_execution import NOT_EXECUTED
from hawthornfold.gathering.tests.test_execution import UNREACHABLE


class EndedServerTest(test_execution.ExecutionTestCase):
    def end_servers(self, sends, now_ms=10.0):
        actions = []
        for send in sends:
            actions += self.execution.handle_server_end(send.attempt, now_ms)
        return actions

    def list_parts(self, actions):
        return [x.part for x in actions if isinstance(x, Send)]

    def test_part_is_sent_again_once_another_is_answered(self):
        # Guards against retries that end the other server of a shard, and
        # against ordinary queries that lose a part.
        execution = self.create()
        sends = execution.start(0.0)
        self.assertEqual(self.end_servers(sends[:1]), [])
        self.assertIsNone(execution.determine_verdict(10.0))
        actions = self.finish_attempts(sends[1:2], ANSWERED)
        self.assertEqual(self.list_parts(actions), [0])
        # From now on other servers have answered.
        self.assertEqual(self.list_parts(self.end_servers(sends[2:3])), [2])

    def test_answers_of_another_node_count(self):
        execution = self.create(groups=((2, 3),))
        group, *sends = execution.start(0.0)
        self.assertEqual(self.end_servers(sends[:1]), [])
        actions = execution.handle_group_answers(
            group.attempt, ((2, 'seal'),), b'', 20.0
        )
        self.assertEqual(self.list_parts(actions), [0])

    def test_query_ends_when_two_servers_ended_and_none_answered(self):
        # Guards against a query that ends all servers that it was sent to.
        execution = self.create(shards=8)
        sends = execution.start(0.0)
        self.end_servers(sends[:1])
        self.assertEqual(execution.start_due_hedges(90.0), [])
        self.assertIsNone(execution.determine_verdict(90.0))
        self.end_servers(sends[1:2])
        self.assertIs(execution.determine_verdict(91.0), Verdict.UNKNOWN)

    def test_held_part_does_not_wait_when_nothing_can_be_answered(self):
        # Guards against a caller that is held to the deadline.
        execution = self.create(shards=3, servers=1)
        sends = execution.start(0.0)
        self.end_servers(sends[:1])
        self.finish_attempts(sends[1:], UNREACHABLE)
        self.assertIs(execution.determine_verdict(11.0), Verdict.UNKNOWN)
        execution = self.create(shards=2, servers=1, groups=((1,),))
        group, send = execution.start(0.0)
        self.end_servers([send])
        execution.handle_group_end(group.attempt, GroupEnd.FINISHED, 20.0)
        self.assertIs(execution.determine_verdict(20.0), Verdict.UNKNOWN)

    def test_forwarded_request_is_sent_to_a_second_server_once(self):
        execution = self.create(shards=1, servers=4)
        sends = execution.start(0.0)
        sends = self.end_servers(sends)
        self.assertEqual(self.list_parts(sends), [0])
        self.assertEqual(self.end_servers(sends), [])
        self.assertIs(execution.determine_verdict(11.0), Verdict.UNKNOWN)

    def test_suspect_is_sent_to_one_server_until_that_answers(self):
        # Guards against a suspect that ends more than one server at a time,
        # and against innocent suspects that are not answered in full.
        execution = self.create(suspect_services=('shard-2',))
        sends = execution.start(0.0)
        self.assertEqual(self.list_parts(sends), [2])
        self.assertTrue(execution.is_testing)
        self.assertEqual(execution.start_due_hedges(90.0), [])
        self.assertIsNone(execution.determine_verdict(90.0))
        others = self.finish_attempts(sends, ANSWERED)
        self.assertFalse(execution.is_testing)
        self.assertEqual(self.list_parts(others), [0, 1, 3])
        self.finish_attempts(others, ANSWERED, 20.0)
        self.assertIs(execution.determine_verdict(20.0), Verdict.COMPLETE)

    def test_suspect_ends_with_the_server_that_runs_it(self):
        execution = self.create(suspect_services=())
        sends = execution.start(0.0)
        self.assertEqual(len(sends), 1)
        self.assertEqual(self.end_servers(sends), [])
        self.assertIs(execution.determine_verdict(10.0), Verdict.UNKNOWN)

    def test_suspect_is_tested_by_another_part_if_one_has_no_server(self):
        # Guards against a suspect that waits for a shard without servers.
        execution = self.create(servers=1, suspect_services=('shard-0',))
        (first,) = execution.start(0.0)
        (second,) = self.finish_attempts([first], NOT_EXECUTED)
        self.assertNotEqual(first.part, second.part)
        (third,) = self.finish_attempts([second], LOST)
        rest = self.finish_attempts([third], ANSWERED)
        self.assertEqual(len(self.list_parts(rest)), 1)

    def test_suspect_group_without_servers_is_reported(self):
        execution = self.create(servers=0, is_helper=True, suspect_services=())
        self.assertEqual(execution.start(0.0), [])
        self.assertIs(execution.determine_verdict(1.0), Verdict.PARTIAL)
