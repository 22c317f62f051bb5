/** End-to-end requests from callers through nodes to backend servers, in one process over real connections. */
import { once } from 'node:events'
import { connect } from 'node:net'
import test from 'ava'
import { generatedAnswer } from '../../src/stand-ins/index.ts'
import { createTestDiagnostics } from '../diagnostics.ts'
import { connectCaller } from '../raw-caller.ts'
import { callerToken, operatorToken, startDeployment, waitUntil } from './deployment.ts'

const authorization = { authorization: `Bearer ${callerToken}` }

function sendDraft (url: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`${url}/v1/teams/agency/drafts/letters`, { method: 'POST', headers: { ...authorization, ...headers }, body: JSON.stringify(body) })
}

function sendCall (url: string, key: string | undefined, body: string, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`${url}/v1/teams/registry/calls/registrations`, {
    method: 'POST',
    headers: { ...authorization, 'content-type': 'text/plain', ...(key === undefined ? {} : { 'idempotency-key': key }), ...headers },
    body
  })
}

/** Sends raw text over TCP, half-closes the connection and returns everything received. */
async function sendRawText (port: number, text: string): Promise<string> {
  const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
  socket.end(text)
  let received = ''
  for await (const chunk of socket) received += String(chunk)
  return received
}

test('drafts and calls are served through any node', async t => {
  const deployment = await startDeployment()
  t.teardown(deployment.close)
  const { urlOf } = deployment

  const streamed = await sendDraft(urlOf(0), { prompt: 'case file 17', maxTokens: 30 })
  t.is(streamed.status, 200)
  const events = (await streamed.text()).split('\n\n').filter(event => event !== '')
  t.true(events.at(-1)?.startsWith('event: end'))
  t.is(events.length, 31)

  const whole = await sendDraft(urlOf(1), { prompt: 'case file 17', maxTokens: 30, stream: false })
  const body = await whole.json() as { text: string, version: string }
  t.is(body.text, generatedAnswer('case file 17', 'v1', 30))

  const responses = await Promise.all([0, 1, 2, 0, 1].map(index => sendCall(urlOf(index), 'reminder-1', 'debtor 9')))
  t.deepEqual(responses.map(({ status }) => status), [200, 200, 200, 200, 200])
  t.is(new Set(await Promise.all(responses.map(response => response.text()))).size, 1)
  t.deepEqual(Object.values(deployment.service.stats().ranByKey), [1])

  const status = await fetch(`${urlOf(2)}/v1/status`, { headers: { authorization: `Bearer ${operatorToken}` } })
  t.is(status.status, 200)
})

test('invalid requests are refused with a typed reason and are not executed', async t => {
  const deployment = await startDeployment(1)
  t.teardown(deployment.close)
  const url = deployment.urlOf(0)
  const past = { 'deadline-at-ms': '1000' }
  const cases: Array<[string, Promise<Response>, string]> = [
    ['no token', fetch(`${url}/v1/teams/agency/drafts/letters`, { method: 'POST', body: '{}' }), 'unauthorized'],
    ['wrong token', sendDraft(url, { prompt: 'x' }, { authorization: 'Bearer other' }), 'forbidden'],
    ['unknown team', fetch(`${url}/v1/teams/nobody/drafts/letters`, { method: 'POST', headers: authorization, body: '{}' }), 'unknown-team'],
    ['unknown route', fetch(`${url}/v1/teams/agency/drafts/nothing`, { method: 'POST', headers: authorization, body: '{}' }), 'unknown-route'],
    ['no body', fetch(`${url}/v1/teams/agency/drafts/letters`, { method: 'POST', headers: authorization }), 'bad-request'],
    ['wrong types', sendDraft(url, { prompt: 7 }), 'bad-request'],
    ['oversized', sendCall(url, 'key-1', 'x'.repeat(17 * 1024 * 1024)), 'body-too-large'],
    ['deadline past', sendDraft(url, { prompt: 'x' }, past), 'deadline-past'],
    ['deadline unreadable', sendDraft(url, { prompt: 'x' }, { 'deadline-at-ms': 'soon' }), 'bad-request'],
    ['key missing', sendCall(url, undefined, 'debtor 9'), 'key-missing'],
    ['call without body', sendCall(url, 'key-2', ''), 'body-missing'],
    ['operator with a caller\'s token', fetch(`${url}/v1/status`, { headers: authorization }), 'forbidden']
  ]
  for (const [name, request, reason] of cases) {
    const response = await request
    const problem = await response.json() as { reason: string, run: string }
    t.is(problem.reason, reason, name)
    t.is(problem.run, 'not-run', name)
    t.is(response.headers.get('content-type'), 'application/problem+json; charset=utf-8', name)
  }
  for (const [name, text, reason] of [
    ['truncated', `POST /v1/teams/registry/calls/registrations HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer ${callerToken}\r\nIdempotency-Key: key-3\r\nContent-Length: 100\r\n\r\ndebtor`, 'body-truncated'],
    ['no HTTP', 'debtor 9\r\n\r\n', 'bad-request']
  ] as const) {
    const rawResponse = await sendRawText(deployment.nodes[0]?.callerPort ?? 0, text)
    t.regex(rawResponse, /^HTTP\/1\.1 400 /, name)
    t.true(rawResponse.includes(`"reason":"${reason}","run":"not-run"`), `${name}: ${rawResponse}`)
  }
  t.is(deployment.service.stats().ran, 0)
})

test('a draining node aborts no draft, and a caller can resume its stream at another node', async t => {
  const deployment = await startDeployment(3, 20)
  t.teardown(deployment.close)
  const { urlOf } = deployment
  const body = { prompt: 'a long case file', maxTokens: 100 }
  const expected = generatedAnswer(body.prompt, 'v1', 100)
  const key = { 'idempotency-key': 'draft-1' }

  const first = await sendDraft(urlOf(0), body, key)
  const reader = first.body?.getReader()
  let text = ''
  while (text.split('\n\n').length < 10) text += Buffer.from((await reader?.read())?.value ?? []).toString('utf8')
  const drained = deployment.nodes[0]?.drain(Date.now() + 6_000)
  for (;;) {
    const part = await reader?.read()
    if (part === undefined || part.done) break
    text += Buffer.from(part.value).toString('utf8')
  }
  await drained
  const seen = text.split('\n\n').filter(event => event.startsWith('id: '))
  const isWhole = text.includes('event: end')
  if (!isWhole) {
    t.true(text.includes('event: handover'))
    const lastEventId = /^id: (.*)$/m.exec(seen.at(-1) ?? '')?.[1] ?? ''
    const second = await sendDraft(urlOf(1), body, { ...key, 'last-event-id': lastEventId })
    const rest = await second.text()
    t.false(rest.includes('event: restart'))
    text += rest
  }
  const tokens = text.split('\n\n').filter(event => event.startsWith('id: ')).map(event => {
    const chunk = JSON.parse(/^data: (.*)$/m.exec(event)?.[1] ?? '{}') as { choices: Array<{ delta: { content: string } }> }
    return chunk.choices[0]?.delta.content ?? ''
  })
  t.is(tokens.join(''), expected)
})

// The second notice is shorter than the timeout of an export: a node that learned of a reclaim late computed the whole prompt again.
for (const noticeMs of [4_500, 2_500]) {
  test(`a draft migrates from a reclaimed engine with its KV cache, so the prompt is not computed again, ${noticeMs} ms before the engine is gone`, async t => {
    const deployment = await startDeployment(1, 10, createTestDiagnostics(t))
    t.teardown(deployment.close)
    const prompt = 'paragraph of a long case file '.repeat(300)
    const answering = sendDraft(deployment.urlOf(0), { prompt, maxTokens: 600, stream: false })
    await waitUntil(() => deployment.engines.some(engine => engine.stats().running > 0))
    const busy = deployment.engines.findIndex(engine => engine.stats().running > 0)
    await new Promise(resolve => setTimeout(resolve, 500))
    deployment.announceReclaim(busy, Date.now() + noticeMs)
    const body = await (await answering).json() as { text: string }
    t.is(body.text, generatedAnswer(prompt, 'v1', 600))
    const metrics = deployment.nodes[0]?.metrics
    t.is(await metrics?.counterValue('retried_total', { reason: 'backend-leaving' }), 1)
    const recomputed = await metrics?.counterValue('recomputed_tokens_total', { cause: 'backend-reclaimed' }) ?? Infinity
    t.true(recomputed < 300, `${recomputed} of more than 2,250 tokens were recomputed`)
  })
}

test('a call that follows a draft on a kept connection of a stopping node is answered', async t => {
  const deployment = await startDeployment(2, 20)
  t.teardown(deployment.close)
  const { port } = new URL(deployment.urlOf(0))
  const caller = await connectCaller(Number(port))
  const post = (path: string, body: string): void => {
    caller.write(`POST /v1/teams/${path} HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: ${authorization.authorization}\r\nidempotency-key: k-1\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  }
  post('agency/drafts/letters', JSON.stringify({ prompt: 'case file 17', maxTokens: 40 }))
  await once(caller.socket, 'data')
  const stopped = deployment.nodes[0]!.drain(Date.now() + 10_000)
  t.like(await caller.nextResponse(), { status: 200, isComplete: true })
  post('registry/calls/registrations', 'debtor 9')
  const answer = await caller.nextResponse()
  t.true(answer.isComplete && answer.status !== 0)
  t.regex(answer.head, /connection: close/)
  await stopped
})
