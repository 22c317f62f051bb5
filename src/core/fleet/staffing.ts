/**
 * Number of backend servers for a load. Bursts are relatively smaller at a larger
 * load, so the headroom grows with the square root of the load (square-root
 * staffing).
 */

/** Backend servers for a load that keeps `busyCount` of them busy, with a headroom of `headroomFactor` times the square root of it. */
export function squareRootStaffing (busyCount: number, headroomFactor: number): number {
  return Math.ceil(busyCount + headroomFactor * Math.sqrt(busyCount))
}
