/** What makes two requests the same. */
import test from 'ava'
import { toId } from '../../src/core/ids/index.ts'
import { digestRequest } from '../../src/core/quarantine/index.ts'
import type { TeamId } from '../../src/core/ids/index.ts'

const request = { method: 'GET', host: 'ledger.example', path: '/a?page=1', team: toId<TeamId>('agency'), body: undefined }

test('a repeat through a node with another port is the same request', t => {
  t.is(digestRequest({ ...request, host: '127.0.0.1:8443' }), digestRequest({ ...request, host: '127.0.0.1:8444' }))
  t.is(digestRequest({ ...request, host: 'Ledger.example' }), digestRequest(request))
})

test('another method, host, query, team or body makes another request', t => {
  const others = [{ method: 'POST' }, { host: 'other.example' }, { path: '/a?page=2' }, { team: toId<TeamId>('other') }, { team: undefined }, { body: 'x' }]
  const digests = others.map(change => digestRequest({ ...request, ...change }))
  t.is(new Set([...digests, digestRequest(request)]).size, others.length + 1)
})
