package io.azurestage.bench;

import java.util.List;

/** Slope of a least-squares line. */
final class Slope {
    private Slope() {}

    /** Value of a figure at a mesh size. */
    record Point(double size, double value) {}

    /** Returns the change of the value per unit of size, or 0 for fewer than two distinct sizes. */
    static double of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Point p : points) {
            covariance += (p.size() - meanSize) * (p.value() - meanValue);
            variance += (p.size() - meanSize) * (p.size() - meanSize);
        }
        return variance == 0 ? 0 : covariance / variance;
    }
}
