import unittest

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import create_server_directory
from hawthornfold.directory.last_resort import LAST_RESORT_MS
from hawthornfold.directory.removals import REMOVAL_GRACE_MS


def create_record(server_id='s1', **fields):
    record = ServerRecord(server_id, 'portal', '127.0.0.1:80', 'dc-a', 2)
    return record._replace(**fields)


def write(directory, record, now_ms=0.0):
    return directory.apply([ServerChange(record.server_id, record)], now_ms)


def remove(directory, server_id, now_ms=0.0):
    return directory.apply([ServerChange(server_id, None)], now_ms)


def find_ids(directory, now_ms):
    return [r.server_id for r in directory.available_servers('portal', now_ms)]


class DrainingTest(unittest.TestCase):
    def test_draining_server_gets_no_work_if_another_is_ready(self):
        # Guards against work sent to a server that announced that it leaves.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        write(directory, create_record('s2'))
        events = write(directory, create_record('s1', is_draining=True), 5.0)
        self.assertEqual([event.kind for event in events], ['draining'])
        self.assertEqual(find_ids(directory, 5.0), ['s2'])

    def test_last_server_is_used_briefly_after_its_announcement(self):
        # Guards against an outage between the last server's announcement and
        # the start of the next server, and against use beyond the drain time.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        write(directory, create_record('s1', is_draining=True), 100.0)
        before_ms = 100.0 + LAST_RESORT_MS - 1.0
        self.assertEqual(find_ids(directory, before_ms), ['s1'])
        self.assertEqual(find_ids(directory, before_ms + 1.0), [])

    def test_repeated_announcements_do_not_extend_the_last_resort(self):
        # Guards against a draining server that stays in use because it keeps
        # writing its record.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        for now_ms in (100.0, 800.0, 1500.0):
            write(directory, create_record('s1', is_draining=True), now_ms)
        self.assertEqual(find_ids(directory, 100.0 + LAST_RESORT_MS), [])

    def test_server_first_seen_draining_is_used_only_briefly(self):
        # Guards against unlimited use of a draining server by a node that
        # started while the server was draining.
        directory = create_server_directory()
        write(directory, create_record('s1', is_draining=True), 0.0)
        self.assertEqual(find_ids(directory, LAST_RESORT_MS), [])


class RemovalTest(unittest.TestCase):
    def test_removal_takes_effect_immediately(self):
        directory = create_server_directory()
        write(directory, create_record('s1'))
        write(directory, create_record('s2'))
        events = remove(directory, 's1', 10.0)
        self.assertEqual([event.kind for event in events], ['removed'])
        self.assertEqual(find_ids(directory, 10.0), ['s2'])

    def test_records_that_expired_in_an_outage_are_kept_until_rewritten(self):
        # Guards against losing all servers when the store returns empty.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        directory.record_outage(1000.0)
        self.assertEqual(remove(directory, 's1', 1100.0), [])
        self.assertEqual(find_ids(directory, 1100.0), ['s1'])
        write(directory, create_record('s1'), 2000.0)
        self.assertEqual(
            directory.expire_removals(1000.0 + REMOVAL_GRACE_MS), []
        )
        self.assertEqual(find_ids(directory, 9000.0), ['s1'])

    def test_record_not_rewritten_after_an_outage_is_removed(self):
        # Guards against keeping servers that stopped during the outage.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        directory.record_outage(1000.0)
        remove(directory, 's1', 1100.0)
        due_ms = 1000.0 + REMOVAL_GRACE_MS
        self.assertEqual(directory.expire_removals(due_ms - 1.0), [])
        events = directory.expire_removals(due_ms)
        self.assertEqual([event.kind for event in events], ['removed'])

    def test_deferral_does_not_extend_the_last_resort(self):
        # Guards against requests to the last server of a service more than 3 s
        # after it left. On a hunted day of carrowmere-routing (hunt-0cc3-3,
        # rule DRAIN) the time of last resort began at the end of the deferral.
        directory = create_server_directory()
        write(directory, create_record())
        directory.record_outage(0.0)
        remove(directory, 's1', 50.0)
        # A complete list does not begin the deferral anew.
        directory.replace_all([], 100.0)
        self.assertEqual(find_ids(directory, 100.0), ['s1'])
        directory.expire_removals(REMOVAL_GRACE_MS)
        self.assertEqual(find_ids(directory, REMOVAL_GRACE_MS), [])

    def test_last_resort_begins_with_a_removal_that_is_soon_due(self):
        # Guards against an outage of a service at the end of a deferral that
        # was shorter than the time of last resort.
        directory = create_server_directory()
        write(directory, create_record())
        directory.record_outage(0.0)
        received_ms = REMOVAL_GRACE_MS - 100.0
        remove(directory, 's1', received_ms)
        directory.expire_removals(REMOVAL_GRACE_MS)
        end_ms = received_ms + LAST_RESORT_MS
        self.assertEqual(find_ids(directory, end_ms - 1.0), ['s1'])
        self.assertEqual(find_ids(directory, end_ms), [])

    def test_second_outage_defers_removals_again(self):
        # Guards against removals that take effect between two outages in a
        # row.
        directory = create_server_directory()
        write(directory, create_record('s1'))
        directory.record_outage(1000.0)
        remove(directory, 's1', 1100.0)
        directory.record_outage(3000.0)
        self.assertEqual(
            directory.expire_removals(1000.0 + REMOVAL_GRACE_MS), []
        )
        self.assertEqual(find_ids(directory, 4000.0), ['s1'])

    def test_complete_list_removes_missing_servers(self):
        directory = create_server_directory()
        write(directory, create_record('s1'))
        kept = ServerChange('s2', create_record('s2'))
        kinds = [e.kind for e in directory.replace_all([kept], 5.0)]
        self.assertEqual(kinds, ['removed', 'added'])
        self.assertEqual(find_ids(directory, 5.0), ['s2'])


class RestartTest(unittest.TestCase):
    def test_restart_under_the_same_id_is_detected(self):
        # Guards against reuse of old connections to a restarted server.
        directory = create_server_directory()
        write(directory, create_record(born_ms=100))
        events = write(directory, create_record(born_ms=200))
        self.assertEqual([event.kind for event in events], ['restarted'])

    def test_record_of_an_earlier_incarnation_is_ignored(self):
        # Guards against a late write by the stopped process.
        directory = create_server_directory()
        write(directory, create_record(born_ms=200))
        late = create_record(born_ms=100, address='127.0.0.1:81')
        self.assertEqual(write(directory, late), [])
        self.assertEqual(directory.get('s1').address, '127.0.0.1:80')

    def test_record_without_the_start_of_a_departed_server_is_not_used(self):
        # Guards against an entry that another writer leaves under the key of
        # a server that has left, and against the loss of a server that starts
        # again after its clock was set back.
        for born_ms, is_used in ((0, False), (199, True), (200, True)):
            directory = create_server_directory()
            write(directory, create_record(born_ms=200))
            remove(directory, 's1', 5.0)
            # A server that has just left may be used as the last resort.
            now_ms = 5.0 + LAST_RESORT_MS
            late = create_record(born_ms=born_ms, address='127.0.0.1:81')
            write(directory, late, now_ms)
            with self.subTest(born_ms):
                self.assertEqual(find_ids(directory, now_ms), is_used * ['s1'])

    def test_unchanged_record_causes_no_event(self):
        # Guards against a log line for each write of an unchanged record.
        directory = create_server_directory()
        write(directory, create_record(warmup_ms=500.0))
        self.assertEqual(write(directory, create_record()), [])

    def test_server_that_changes_its_service_leaves_the_old_one(self):
        directory = create_server_directory()
        write(directory, create_record())
        events = write(directory, create_record(service='board'))
        self.assertEqual([event.kind for event in events], ['moved'])
        self.assertEqual(find_ids(directory, 0.0), [])
        self.assertEqual(len(directory.available_servers('board', 0.0)), 1)
