/** Point of a measurement. */
export interface MeasuredPoint {
    readonly size: number;
    readonly value: number;
}

/** Straight line through measured points by least squares. */
export interface LinearFit {
    readonly slope: number;
    readonly intercept: number;
    /** Square root of the mean squared distance of the points from the line. */
    readonly residual: number;
}

/** Fits a straight line. */
export function fitLine(points: readonly MeasuredPoint[]): LinearFit {
    const count = points.length;
    const meanSize = points.reduce((total, point) => total + point.size, 0) / count;
    const meanValue = points.reduce((total, point) => total + point.value, 0) / count;
    const covariance = points.reduce((total, { size, value }) => total + (size - meanSize) * (value - meanValue), 0);
    const variance = points.reduce((total, { size }) => total + (size - meanSize) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanValue - slope * meanSize;
    const squares = points.reduce((total, { size, value }) => total + (value - intercept - slope * size) ** 2, 0);
    return { slope, intercept, residual: Math.sqrt(squares / count) };
}
