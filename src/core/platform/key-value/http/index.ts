/** Client of the key-value service over its JSON gateway. */
import { Result } from 'true-myth'
import { createError } from '../../../errors/index.ts'
import { toId } from '../../../ids/index.ts'
import { checkTransaction } from '../memory/state.ts'
import { createEndpoint } from './endpoint.ts'
import { decodeKeyValue, encodePrefix, encodeText, gatewayPaths } from './gateway.ts'
import { openHttpWatch } from './watch.ts'
import type { Clock } from '../../../clock/index.ts'
import type { LeaseId } from '../../../ids/index.ts'
import type { CallOptions, KeyValueError, KeyValueStore, Transaction, TransactionResult, Watch } from '../types.ts'
import type { EndpointResult } from './endpoint.ts'
import type { GatewayRangeResponse, GatewayTxnRequest, GatewayTxnResponse } from './gateway.ts'

/** Options of the client. */
export interface HttpKeyValueOptions {
  /** Base URLs of the service's endpoints, such as `http://10.0.0.1:2379`. */
  endpoints: string[]
  clock: Clock
  /** Name of this client, sent as the user agent. */
  clientName?: string
  /** Additional headers of every request, such as `authorization`. */
  headers?: Record<string, string>
  /** Time without any message on a watch, including progress notifications, after which the watch is lost. */
  watchIdleTimeoutMs?: number
}

const defaultWatchIdleTimeoutMs = 1_500

function toGatewayTransaction ({ compares, puts, deletes }: Transaction): GatewayTxnRequest {
  return {
    compare: compares.map(({ key, modRevision }) => ({ key: encodeText(key), target: 'MOD', result: 'EQUAL', mod_revision: String(modRevision) })),
    success: [
      ...puts.map(({ key, value, leaseId }) => ({
        request_put: { key: encodeText(key), value: encodeText(value), ...(leaseId === undefined ? {} : { lease: leaseId }) }
      })),
      ...deletes.map(key => ({ request_delete_range: { key: encodeText(key) } }))
    ],
    failure: compares.map(({ key }) => ({ request_range: { key: encodeText(key) } }))
  }
}

function toTransactionResult ({ header, succeeded, responses }: GatewayTxnResponse): TransactionResult {
  const applied = succeeded === true
  const current = applied ? [] : (responses ?? []).flatMap(response => response.response_range?.kvs ?? []).map(decodeKeyValue)
  return { applied, revision: Number(header.revision), current }
}

/** Converts the result of a failed request into the error that states whether a write may have taken effect. */
function toKeyValueError (operation: string, isWrite: boolean, result: EndpointResult): KeyValueError {
  const cause = result.kind === 'response' ? 'its response could not be parsed' : result.cause
  if (result.kind === 'rejected') return createError('KeyValueRejected', { operation, cause })
  if (result.kind === 'not-executed' || !isWrite) return createError('KeyValueUnavailable', { operation, cause })
  return createError('KeyValueAmbiguous', { operation, cause })
}

/** Creates a client. Connections are opened on demand. */
export function createHttpKeyValue (options: HttpKeyValueOptions): KeyValueStore {
  const { clock } = options
  const headers = { 'user-agent': options.clientName ?? 'cyclamenshunt', ...options.headers }
  const endpoints = options.endpoints.map(origin => createEndpoint(origin, headers))
  const watches = new Set<Watch>()
  let preferredIndex = 0

  /**
   * Tries the endpoints in turn, each at most once. A write is sent to the next
   * endpoint only if the previous one provably did not execute it.
   */
  async function call<Value> (
    operation: string,
    isWrite: boolean,
    path: string,
    payload: unknown,
    { deadlineAtMs }: CallOptions,
    parse: (text: string) => Value
  ): Promise<Result<Value, KeyValueError>> {
    let lastResult: EndpointResult = { kind: 'not-executed', cause: 'the deadline passed before the request was sent' }
    for (let attemptCount = 0; attemptCount < endpoints.length; attemptCount += 1) {
      const remainingMs = deadlineAtMs - clock.wallMs()
      const usedIndex = preferredIndex
      const endpoint = endpoints[usedIndex]
      if (remainingMs <= 0 || endpoint === undefined) break
      lastResult = await endpoint.send(path, payload, remainingMs)
      if (lastResult.kind === 'response') return decodeResponse(operation, isWrite, lastResult.text, parse)
      if (lastResult.kind === 'rejected') break
      if (usedIndex === preferredIndex) preferredIndex = (preferredIndex + 1) % endpoints.length
      if (isWrite && lastResult.kind === 'ambiguous') break
    }
    return Result.err(toKeyValueError(operation, isWrite, lastResult))
  }

  function decodeResponse<Value> (operation: string, isWrite: boolean, text: string, parse: (text: string) => Value): Result<Value, KeyValueError> {
    try {
      return Result.ok(parse(text))
    } catch {
      return Result.err(toKeyValueError(operation, isWrite, { kind: 'response', text }))
    }
  }

  function parseRange (text: string) {
    const { header, kvs } = JSON.parse(text) as GatewayRangeResponse
    return { entries: (kvs ?? []).map(decodeKeyValue), revision: Number(header.revision) }
  }

  async function transact (transaction: Transaction, callOptions: CallOptions): Promise<Result<TransactionResult, KeyValueError>> {
    const problem = checkTransaction(transaction)
    if (problem !== undefined) return Result.err(problem)
    const payload = toGatewayTransaction(transaction)
    return await call('transact', true, gatewayPaths.txn, payload, callOptions, text => toTransactionResult(JSON.parse(text) as GatewayTxnResponse))
  }

  function watch (prefix: string, afterRevision: number, handlers: Parameters<KeyValueStore['watch']>[2]): Watch {
    const opened = openHttpWatch({
      origin: options.endpoints[preferredIndex] ?? '',
      headers,
      clock,
      prefix,
      afterRevision,
      handlers,
      idleTimeoutMs: options.watchIdleTimeoutMs ?? defaultWatchIdleTimeoutMs,
      onEnd: lost => {
        watches.delete(opened)
        if (lost) preferredIndex = (preferredIndex + 1) % endpoints.length
      }
    })
    watches.add(opened)
    return opened
  }

  return {
    get: async (key, callOptions) => {
      const response = await call('get', false, gatewayPaths.range, { key: encodeText(key) }, callOptions, parseRange)
      return response.map(({ entries, revision }) => ({ entry: entries[0], revision }))
    },
    list: (prefix, callOptions) => call('list', false, gatewayPaths.range, encodePrefix(prefix), callOptions, parseRange),
    transact,
    grantLease: (ttlSeconds, callOptions) => call('grantLease', true, gatewayPaths.leaseGrant, { TTL: String(ttlSeconds) }, callOptions,
      text => toId<LeaseId>((JSON.parse(text) as { ID: string }).ID)),
    keepAlive: (leaseId, callOptions) => call('keepAlive', true, gatewayPaths.leaseKeepAlive, { ID: leaseId }, callOptions,
      text => Number((JSON.parse(text) as { result: { TTL?: string } }).result.TTL ?? 0) > 0),
    revokeLease: (leaseId, callOptions) => call('revokeLease', true, gatewayPaths.leaseRevoke, { ID: leaseId }, callOptions, () => undefined),
    watch,
    era: () => 0,
    observeEra: () => {},
    close: async () => {
      for (const open of [...watches]) open.close()
      await Promise.all(endpoints.map(endpoint => endpoint.close()))
    }
  }
}
