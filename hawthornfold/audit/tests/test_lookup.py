import collections
import unittest

import eventlet

from hawthornfold import audit
from hawthornfold import clock
from hawthornfold.audit import lookup as lookups

Member = collections.namedtuple('Member', 'name address')
Membership = collections.namedtuple('Membership', 'members')


class DirectLinks:
    """Delivers each message to the other node synchronously."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.handlers = {}

    def register(self, body_type, handler):
        self.handlers[body_type] = handler

    def send(self, name, address, body):
        target = self.network.get(name)
        if target is None:
            return False
        target.handlers[type(body)](Member(self.name, ''), body)
        return True


def create_node(name, network, members):
    links = DirectLinks(name, network)
    network[name] = links
    journal = audit.create_request_journal(clock.create_manual_clock())
    lookup = lookups.JournalLookup(name, journal, links, members)
    return journal, lookup


class JournalLookupTest(unittest.TestCase):
    def test_other_nodes_find_the_events_of_a_request(self):
        # Guards against a lookup that works only on the node that ran the
        # request: operators do not know which one that was.
        network = {}
        members = Membership([Member(name, name) for name in ('a', 'b', 'c')])
        journal, _ = create_node('a', network, members)
        _, lookup = create_node('b', network, members)
        journal.open('a~7~q1')
        journal.add('a~7~q1', 'send', 'server-1', 'why')
        self.assertEqual(
            ('a', [(0.0, 'send', 'server-1', 'why')]),
            lookup.find_events('a~7~q1'),
        )
        self.assertEqual(('a', None), lookup.find_events('a~7~q2'))
        self.assertEqual(('c', None), lookup.find_events('c~7~q1'))
        self.assertEqual(('gone', None), lookup.find_events('gone~1~q1'))

    def test_reply_to_a_former_process_does_not_count(self):
        # Guards against operators who see the journal of another request,
        # which a killed process of the same node had looked up.
        network = {}
        members = Membership([Member(name, name) for name in ('a', 'b')])
        requests = []
        network['a'] = issuer = DirectLinks('a', network)
        issuer.register(
            lookups.ExplainRequest, lambda _, body: requests.append(body)
        )
        _, former = create_node('b', network, members)
        threads = [eventlet.spawn(former.find_events, 'a~7~q1')]
        _, lookup = create_node('b', network, members)
        threads.append(eventlet.spawn(lookup.find_events, 'a~7~q2'))
        while len(requests) < 2:
            eventlet.sleep(0)
        for number, request in enumerate(requests):
            events = [(float(number), 'send', request.request_id, '')]
            reply = lookups.ExplainReply(request.lookup_id, True, events)
            network['b'].handlers[lookups.ExplainReply](Member('a', ''), reply)
        _, events = threads[1].wait()
        self.assertEqual([(1.0, 'send', 'a~7~q2', '')], events)
        threads[0].kill()
